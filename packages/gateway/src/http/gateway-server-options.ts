/**
What the HTTP server for callers asks the rest of a gateway.
*/
import type {listenWhenFree} from '@siskinhub/peer/listen-when-free.js';
import type {CallCodec} from '../call/call-codec.js';
import type {CallHead} from '../call/call-head.js';
import type {ActiveCall} from '../forward/active-call.js';
import type {AnswerMemory} from '../forward/answer-memory.js';
import type {CallerResponse} from '../forward/caller-response.js';
import type {createActiveCalls} from '../forward/create-active-calls.js';
import type {DeclaredRoutes} from '../routes/declared-routes.js';
import type {EarlyListener} from './early-listener.js';
import type {UnreadReason} from './unread-reason.js';

export type GatewayServerOptions = {
	readonly ip: string;
	readonly port: number;
	/** Milliseconds for which the address may be in use; 0 by default. */
	readonly waitMs?: number;
	readonly log?: Parameters<typeof listenWhenFree>[1]['log'];
	/** Set if the process already listens on the address. */
	readonly earlyListener?: EarlyListener | undefined;
	readonly codec: CallCodec;
	/** Holds each well-formed request until its response is over. */
	readonly activeCalls: Pick<ReturnType<typeof createActiveCalls>, 'begin' | 'end'>;
	/** In which responses count what callers have not taken; not counted by default. */
	readonly memory?: Pick<AnswerMemory, 'open'>;
	readonly limits: () => DeclaredRoutes['limits'] | undefined;
	/** Returns `false` while other processes serve callers better: each connection is then closed after its current response. */
	readonly shouldKeepConnections: () => boolean;
	/** Called when a request arrives; returns for how many milliseconds it has probably waited to be read. */
	readonly onArrival: () => number;
	/** Called with each request before anything else is decided; returns whether it was refused because of its caller. None is by default. */
	readonly refuseCaller?: (call: CallHead, response: CallerResponse) => boolean;
	/** Called before the body is read; a request that is not admitted must be refused with `onRefused`. */
	readonly isAdmitted: (call: CallHead) => boolean;
	readonly onRefused: (call: CallHead, response: CallerResponse) => void;
	/** Called with a request that has come too late in a planned stop to be sure of its answer; it must be refused as not run. */
	readonly onLate: (call: CallHead, response: CallerResponse) => void;
	/** Returns the milliseconds in which the body of a request must have come. */
	readonly maxBodyMs?: (call: CallHead) => number;
	/** Called with a request whose body was not read whole; it must be refused as not run. `durationMs` is the time since it arrived. */
	readonly onUnread: (call: CallHead, response: CallerResponse, unread: {readonly reason: UnreadReason; readonly durationMs: number}) => void;
	/** Bytes that all requests may take together; a third of what the smallest gateway, of 178 MB, has beside the 73 MB of a fresh process, by default. */
	readonly maxHeldBytes?: number;
	/** Connections that are open at once; 3000 by default. */
	readonly maxConnections?: number;
	readonly onCall: (call: CallHead, body: Uint8Array, response: CallerResponse, active: ActiveCall) => Promise<void>;
	/** Called with the reason after an unexpected error, which ends only the one request. */
	readonly onFailed: (reason: string) => void;
	/** Called with each request that is answered with `status` because it is malformed or too large. */
	readonly onRejected: (reason: string, status: number) => void;
};
