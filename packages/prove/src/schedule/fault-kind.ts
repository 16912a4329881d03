/**
The faults that a schedule may hold.
*/

/** What is done to a process, a connection or the platform's service. */
export type FaultKind =
	// SIGKILL, and a new start after `durationMs`.
	| 'kill'
	// SIGSTOP, and SIGCONT after `durationMs`.
	| 'freeze'
	// SIGTERM, and a new start once it has exited.
	| 'stop'
	// Open connections to the target go silent for good; new ones work.
	| 'silence'
	| 'platform-down'
	| 'platform-slow'
	// Write answers are lost after the write took effect.
	| 'platform-lose-answers'
	// The engine cuts streams in mid-answer, or the service its connections after the effect.
	| 'upstream-cut'
	| 'upstream-slow';
