/**
Type of what takes over the control signals of a process.
*/
import type {ReceivedSignal} from './received-signal.js';

export type SignalWatch = {
	/** Passes the listener every signal, also those that came before this call. There is one listener at a time. */
	readonly listen: (listener: (received: ReceivedSignal) => void) => void;
};
