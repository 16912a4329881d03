/**
The state that a top-level program shares with its sub-agents.
*/
import type {RowPlan} from '../plan/row-plan.js';

export type RootState = {
	readonly row: RowPlan;
	readonly startedAt: number;
	/** Slot time received so far, in milliseconds. */
	attainedMs: number;
};
