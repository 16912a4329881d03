/**
The limits of one program, resolved from its three rows.
*/

/** Effective limits: a limit is the least of the three rows' cells; weight and priority come from the most specific row that has them. */
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
