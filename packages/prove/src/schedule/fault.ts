/**
One fault of a schedule.
*/
import type {FaultKind} from './fault-kind.js';

/** `atMs` is the time of the fault, counted from the start of the run. */
export type Fault = {
	readonly atMs: number;
	readonly kind: FaultKind;
	readonly target: string;
	readonly durationMs: number;
};
