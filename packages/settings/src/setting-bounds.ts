/**
Bounds of the numbers in settings files.
*/

/** Largest values that a settings file may give. */
export const SETTING_BOUNDS = {
	// A day; timers of the runtime overflow at 24.8 days.
	durationMs: 86_400_000,
	bodyBytes: 256 * 1024 * 1024,
	retainedRequests: 1_000_000,
	// A shard's number has at most five digits in a program id.
	shards: 65_536,
	slots: 100_000,
	port: 65_535,
} as const;
