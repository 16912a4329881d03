/**
How requests and answers are written on the wire, given by the adapter of the
platform that the process runs on.
*/
import type {IncomingMessage} from 'node:http';
import type {Result} from 'neverthrow';
import type {CallHead} from './call-head.js';
import type {ResponseHead} from './response-head.js';

/** What the system itself tells an upstream with a request. */
type ForwardingOptions = {
	readonly upstreamId: string;
	/** Milliseconds that the upstream may still take. */
	readonly deadlineMs: number;
	/** 0 is the most urgent, 9 the least. */
	readonly priority?: number;
	readonly lastEventId?: string;
};

/** Translates between wire and types; decides nothing. */
export type CallCodec = {
	/** The error says what is wrong with the request. */
	readonly decodeCall: (req: IncomingMessage) => Result<CallHead, string>;
	/** Headers of the request to the upstream, names and values in turn. */
	readonly encodeCall: (call: CallHead, orders: ForwardingOptions) => string[];
	readonly decodeAnswer: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => ResponseHead;
	/** Headers of an answer of the system's own. */
	readonly encodeRefusal: (call: Pick<CallHead, 'id'> | undefined, retryAfterMs: number | undefined) => Record<string, string>;
};
