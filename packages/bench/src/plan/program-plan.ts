/**
A whole program, drawn before the run so that every policy meets the same one.
*/
import type {RowPlan} from './row-plan.js';
import type {Step} from './step.js';

/** A program's arrival and steps. */
export type ProgramPlan = {
	readonly index: number;
	readonly arrivesAt: number;
	readonly row: RowPlan;
	readonly steps: readonly Step[];
	/** Slot time that no policy can avoid, in milliseconds: new tokens computed once, and the answers generated. */
	readonly workMs: number;
	/** Steps after which the program's process dies without ending it, if it does. */
	readonly diesAfter?: number;
	/** Whether its first model call crashes the upstream that runs it. */
	readonly crashes: boolean;
};
