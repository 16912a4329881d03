/**
The prefix cache of an engine stand-in.
*/

/** Token counts of cached prompt prefixes by cache group. */
export type PrefixCache = {
	/** Returns the group's tokens, 0 if nothing is cached. */
	readonly get: (group: string) => number;
	/** Replaces the group's prefix and evicts others if the capacity is exceeded. */
	readonly store: (group: string, tokens: number) => void;
	/** Returns whether the group was cached. */
	readonly remove: (group: string) => boolean;
	readonly list: () => Array<{readonly group: string; readonly tokens: number}>;
	readonly totalTokens: () => number;
};
