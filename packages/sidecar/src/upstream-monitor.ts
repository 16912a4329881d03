/**
Whether the upstream is up.
*/

/** Follows runs and probes; a crash shows in a run before the next probe. */
export type UpstreamMonitor = {
	readonly isUp: () => boolean;
	/** Notes that a run could not reach the upstream or lost it. */
	readonly noteFailure: () => void;
	readonly stop: () => void;
};
