/**
The memory in which a process keeps parts of answers until they can be passed on.
*/

/** How much one answer may hold of one kind of part. */
export type AnswerShare = {
	/** Bytes that it never passes, however much is free. */
	readonly limitBytes: number;
	/** Part of the free memory that it may have, from 0 to 1. */
	readonly partOfFree: number;
};

/** What one holder has of the memory, in bytes; it begins at 0. */
export type AnswerHolding = {
	/** Holds `bytes` in place of what was held so far; if that is more than the share allows, changes nothing and returns `false`. */
	readonly tryHold: (bytes: number, share: AnswerShare) => boolean;
	/** Holds `bytes`, whatever is free: for what has arrived already, while the upstream is paused. */
	readonly hold: (bytes: number) => void;
	/** Returns the most bytes that the share allows now, of which some may be held already. */
	readonly allowance: (share: AnswerShare) => number;
	/** Holds nothing from now on. May be called more than once. */
	readonly release: () => void;
};

/** Shared by all answers of a process. */
export type AnswerMemory = {
	readonly open: () => AnswerHolding;
	/** Returns the bytes that all answers hold now. */
	readonly heldBytes: () => number;
};
