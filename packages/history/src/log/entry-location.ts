/**
Position of an entry in the log.
*/

/** Identifies a line of a segment file, without its line break. */
export type EntryLocation = {
	readonly segment: number;
	/** Bytes from the beginning of the segment. */
	readonly offset: number;
	/** Length in bytes. */
	readonly length: number;
};
