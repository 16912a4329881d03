/**
Translates requests and responses between their wire format and the gateway's
types. Each platform's adapter implements it.
*/
import type {IncomingMessage} from 'node:http';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {Result} from 'neverthrow';
import type {CallHead} from './call-head.js';
import type {ResponseHead} from './response-head.js';

/** What the gateway itself adds to a request to an upstream. */
type ForwardingOptions = {
	readonly upstreamId: string;
	/** Milliseconds that the upstream has left to respond. */
	readonly deadlineMs: number;
	/** 0 is the most urgent, 9 the least. */
	readonly priority?: number;
	readonly lastEventId?: string;
	/** Of the caller; the upstream learns it from the gateway alone. */
	readonly workspace?: WorkspaceId | undefined;
	/** Whether the caller's `credentials` go on as they came, since the deployment declares no workspaces. */
	readonly passesCredentials?: boolean | undefined;
};

/** Only translates; takes no decisions. Header lists alternate names and values. */
export type CallCodec = {
	/** The error message says what is wrong with the request. */
	readonly decodeCall: (req: IncomingMessage) => Result<CallHead, string>;
	/** Returns the headers of the request to the upstream. */
	readonly encodeCall: (call: CallHead, options: ForwardingOptions) => string[];
	readonly decodeResponse: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => ResponseHead;
	/** Returns the headers of a response that the gateway itself sends instead of an upstream. */
	readonly encodeRefusal: (call: Pick<CallHead, 'id'> | undefined, retryAfterMs: number | undefined) => Record<string, string>;
};
