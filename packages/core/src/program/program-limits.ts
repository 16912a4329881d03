/**
The effective limits of one program.
*/

/** Limits resolved from the program's three rows: each limit is the least of the rows' cells, weight and priority come from the most specific row that sets them. An absent limit is not enforced. */
export type ProgramLimits = {
	readonly weight: number;
	readonly priority: number;
	/** Tokens that the program may spend. */
	readonly programBudget?: number;
	readonly turns?: number;
	readonly wallTimeMs?: number;
	readonly toolTimeMs?: number;
	readonly idleTimeMs?: number;
	readonly outputTokens?: number;
};
