/**
How a run on an upstream ended.
*/

/** `not-sent`: the upstream did not execute the call; `lost`: it may have executed it, but no answer will arrive. */
export type RunOutcome =
	| {readonly kind: 'finished'; readonly promptTokens: number; readonly outputTokens: number; readonly finish: string}
	| {readonly kind: 'not-sent'; readonly reason: string}
	| {readonly kind: 'lost'; readonly reason: string; readonly isCrash: boolean}
	| {readonly kind: 'cancelled'};
