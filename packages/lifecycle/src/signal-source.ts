/**
Type of what tells of the control signals: a process.
*/
import type {ControlSignal} from './control-signal.js';

export type SignalSource = {
	/** Calls the listener with the name of each signal; the signal then has no default action any more. */
	readonly on: (signal: ControlSignal, listener: (signal: ControlSignal) => void) => unknown;
};
