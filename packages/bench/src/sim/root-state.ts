/**
What the hub keeps of an outermost program.
*/
import type {RowPlan} from '../plan/row-plan.js';

/** Shared by a program and its sub-agents. */
export type RootState = {
	readonly row: RowPlan;
	readonly startedAt: number;
	/** Slot time had so far, in milliseconds. */
	attainedMs: number;
};
