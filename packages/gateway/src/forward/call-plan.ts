/**
A request on its way: what was decided about it so far.
*/
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';

/** Times are of the runtime's clock, in milliseconds. */
export type CallPlan = {
	readonly call: CallHead;
	readonly route: Route;
	readonly service: string;
	/** What the upstream is to receive. */
	readonly body: Uint8Array;
	readonly arrivedAt: number;
	/** When the caller or the operator stops waiting. */
	readonly deadlineAt: number;
};
