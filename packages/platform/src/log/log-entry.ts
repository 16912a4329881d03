/**
The JSON record that a slot of a log holds.
*/

/** One entry of a log: the items of one group commit. */
export type LogEntry<Item> = {
	/** Position in the log, starting at 1. */
	readonly index: number;
	/** Process that wrote the entry, as named in its `LogOptions`. */
	readonly writer: string;
	/** Unique for each commit. Shows whether a write took effect although its response was lost. */
	readonly commitId: string;
	readonly items: readonly Item[];
};
