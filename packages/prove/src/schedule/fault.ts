/**
One fault of a schedule.
*/
import type {FaultKind} from './fault-kind.js';

/** A fault and when it comes, counted from the start of the run. */
export type Fault = {
	readonly atMs: number;
	readonly kind: FaultKind;
	readonly target: string;
	readonly durationMs: number;
};
