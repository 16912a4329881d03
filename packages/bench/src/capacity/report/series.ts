/**
Measurements at several sizes of one thing.
*/

/** `values` are keyed by their column, which names the unit. */
type SeriesPoint = {readonly x: number; readonly values: Readonly<Record<string, number>>};

/** One table of the report; every column gets its own slope over `x`. */
export type Series = {
	readonly name: string;
	/** What `x` counts. */
	readonly xName: string;
	readonly note: string;
	readonly points: readonly SeriesPoint[];
};
