/**
The limited prefix memory of a stand-in engine.
*/

/** Prefixes by group. */
export type PrefixCache = {
	readonly get: (group: string) => number;
	readonly store: (group: string, tokens: number) => void;
	readonly remove: (group: string) => boolean;
	readonly list: () => Array<{readonly group: string; readonly tokens: number}>;
	readonly totalTokens: () => number;
};
