/**
The limits that the table sets for one program.
*/
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {ProgramLimits} from '@siskinhub/core/program/program-limits.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';

type RowLimit = {
	readonly row: RowKey;
	readonly limit: number;
};

/** The row that the program is accounted to, its effective limits, and the cells that several programs share. */
export type RowLimits = {
	readonly row: RowKey;
	readonly limits: ProgramLimits;
	/** Budget cells, in tokens, of those of the three rows that have one. */
	readonly budgets: readonly RowLimit[];
	/** Concurrency cells, in calls, of those of the three rows that have one. */
	readonly concurrency: readonly RowLimit[];
	/** Revision of the table that all this was read from. */
	readonly revision: Revision;
};
