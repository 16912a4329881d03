/**
A row of the table as a workload defines it, with its part of the offered load.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';

export type RowPlan = {
	readonly row: RowKey;
	readonly weight: number;
	readonly priority: number;
	/** Share of the offered work, from 0 to 1. */
	readonly demand: number;
};
