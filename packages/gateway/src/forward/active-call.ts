/**
A caller's request from the arrival of its head until its response is over.
*/
import type {CallHead} from '../call/call-head.js';
import type {CallerResponse} from './caller-response.js';
import type {CallPhase} from './call-phase.js';

/** A plain record, since each request has one and sets its fields several times. */
export type ActiveCall = {
	readonly call: CallHead;
	readonly response: Pick<CallerResponse, 'isStarted'>;
	/** By `Date.now()`: when the request reached this host, as far as can be told. */
	readonly arrivedAt: number;
	/** By `performance.now()`: when this process began to handle the request. */
	readonly beganAt: number;
	phase: Exclude<CallPhase, 'answering'>;
	/** Whether the request may have run or may yet run at an upstream. */
	wasPassedOn: boolean;
	/** Whether a planned stop has taken the request back: it is sent to no upstream from now on. */
	isStopped: boolean;
	/** Ends what the request waits for. Called once, when the request is taken back. */
	onStop: (() => void) | undefined;
};
