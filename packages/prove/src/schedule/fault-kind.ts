/**
The kinds of faults that a schedule can contain.
*/

/** What is done to a process, a connection or the platform service. */
export type FaultKind =
	// SIGKILL, and a restart after `durationMs`.
	| 'kill'
	// SIGSTOP, and SIGCONT after `durationMs`.
	| 'freeze'
	// SIGTERM, and a restart once the process has exited.
	| 'stop'
	// Open connections to the target go silent permanently; new ones work.
	| 'silence'
	| 'platform-down'
	| 'platform-slow'
	// The responses to some writes are lost after the writes took effect.
	| 'platform-lose-answers'
	// An engine closes streams in the middle of an answer; a service closes a connection after the effect.
	| 'upstream-cut'
	| 'upstream-slow';
