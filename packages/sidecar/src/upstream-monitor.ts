/**
Interface of the monitor that tells whether the upstream is up.
*/

/** Combines periodic probes with failures of runs, which show a crash before the next probe. */
export type UpstreamMonitor = {
	readonly isUp: () => boolean;
	/** Marks the upstream as down after it did not accept a run or crashed during one. */
	readonly reportFailure: () => void;
	readonly stop: () => void;
};
