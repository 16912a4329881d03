/**
The result of an experiment: values measured while one quantity varies.
*/

/** `values` maps the name of each column, which includes the unit, to the value measured at `x`. */
type SeriesPoint = {readonly x: number; readonly values: Readonly<Record<string, number>>};

/** One table of the report; a line over `x` is fitted through each column. */
export type Series = {
	readonly name: string;
	/** The quantity that `x` measures, as the heading of the first column. */
	readonly xName: string;
	/** The conditions of the measurement, printed below the name. */
	readonly note: string;
	readonly points: readonly SeriesPoint[];
};
