/**
One entry of a log, as it stands in a slot.
*/

/** The items of one group commit. */
export type LogEntry<Item> = {
	/** Place in the log, from 1. */
	readonly index: number;
	readonly writer: string;
	/** Unique for each commit; decides whether a write whose answer was lost took effect. */
	readonly commitId: string;
	readonly items: readonly Item[];
};
