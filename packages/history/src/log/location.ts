/**
Where an entry of the log stands.
*/

/** A line of a segment file, without its line break. */
export type Location = {
	readonly segment: number;
	/** Bytes from the beginning of the segment. */
	readonly offset: number;
	readonly length: number;
};
