/**
Notices that the process did not run for a while.
*/

/** Tells whether the process was paused, for example by SIGSTOP or a host freeze. */
export type PauseDetector = {
	/** True from the end of a pause until the timer has run again; messages read meanwhile were sent before or during the pause. */
	readonly isWaking: () => boolean;
	/** Pauses noticed so far; what came over a connection that is older than the last of them may be out of date. */
	readonly pauses: () => number;
	readonly stop: () => void;
};
