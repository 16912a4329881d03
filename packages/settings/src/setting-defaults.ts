/**
Defaults of the settings.
*/

/** Values of settings that a file does not give. */
export const SETTING_DEFAULTS = {
	chunkGatherMs: 5,
	commitWindowMs: 100,
	defaultDeadlineMs: 30_000,
	gracefulStopMs: 60_000,
	heartbeatIntervalMs: 1000,
	heartbeatSilenceMs: 4000,
	leaseRenewEveryMs: 3000,
	leaseTtlMs: 10_000,
	logLevel: 'info',
	maxBodyBytes: 8 * 1024 * 1024,
	maxRetainedRequests: 20_000,
	metricsPrefix: 'siskinhub.',
	platformTimeoutMs: 2000,
	reconcileIntervalMs: 10_000,
	shards: 16,
	statsdPort: 8125,
} as const;
