/**
The service that one row got within the measured period.
*/

/** Shares of all service, from 0 to 1; `fair` is what the row should have got. */
export type RowMetrics = {
	readonly row: string;
	readonly weight: number;
	readonly served: number;
	readonly fair: number;
};
