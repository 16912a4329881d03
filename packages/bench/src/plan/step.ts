/**
One step of a program, drawn before the run and unknown to the policies.
*/

/** What a program does next; sub-agents run side by side and are waited for. */
export type Step =
	| {readonly kind: 'model'; readonly newTokens: number; readonly outputTokens: number}
	| {readonly kind: 'service'; readonly workMs: number; readonly idempotent: boolean}
	| {readonly kind: 'pause'; readonly ms: number}
	| {readonly kind: 'agents'; readonly agents: ReadonlyArray<readonly Step[]>};
