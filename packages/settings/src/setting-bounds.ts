/**
Upper bounds of the numbers in settings files.
*/

/** Largest values that settings may have. */
export const SETTING_BOUNDS = {
	// One day; timers of Node.js overflow at 24.8 days.
	durationMs: 86_400_000,
	bodyBytes: 256 * 1024 * 1024,
	retainedRequests: 1_000_000,
	// A program id has at most five digits for the number of the shard.
	shards: 65_536,
	slots: 100_000,
	port: 65_535,
} as const;
