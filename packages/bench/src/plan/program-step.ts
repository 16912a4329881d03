/**
One step of a program, drawn before the run and unknown to the policies.
*/

/** A call, a pause, or sub-agents that run in parallel until the last has ended. */
export type ProgramStep =
	| {readonly kind: 'model'; readonly newTokens: number; readonly outputTokens: number}
	| {readonly kind: 'service'; readonly workMs: number; readonly idempotent: boolean}
	| {readonly kind: 'pause'; readonly ms: number}
	| {readonly kind: 'agents'; readonly agents: ReadonlyArray<readonly ProgramStep[]>};
