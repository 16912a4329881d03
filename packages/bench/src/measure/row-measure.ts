/**
What one row was served.
*/

/** A row's service within the window, as shares of all service. */
export type RowMeasure = {
	readonly row: string;
	readonly weight: number;
	readonly served: number;
	readonly fair: number;
};
