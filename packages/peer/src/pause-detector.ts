/**
Type of the detector of pauses of the process.
*/

/** Reports whether the process was paused, for example by SIGSTOP or a frozen host. */
export type PauseDetector = {
	/** Whether a pause has ended but the detector's timer has not run since; messages read in this time were sent before or during the pause. */
	readonly isWaking: () => boolean;
	/** Number of pauses detected so far. Data from a connection that was opened before the last pause may be out of date. */
	readonly countPauses: () => number;
	readonly stop: () => void;
};
