/**
A control signal that has come.
*/
import type {ControlSignal} from './control-signal.js';

export type ReceivedSignal = {
	readonly signal: ControlSignal;
	/** By `performance.now()`, in milliseconds. */
	readonly atMs: number;
};
