/**
What the table says about one program.
*/
import type {ProgramLimits} from '@siskinhub/core/program/program-limits.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';

/** The row that the program is accounted to, and its effective limits. */
export type RowLimits = {
	readonly row: RowKey;
	readonly limits: ProgramLimits;
	/** Calls of the row that may run on one upstream at the same time. */
	readonly concurrency?: number;
};
