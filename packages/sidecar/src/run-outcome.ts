/**
How a run on an upstream ended.
*/

/** `not-sent`: the upstream never saw it; `lost`: it may have run, and its answer will not come. */
export type RunOutcome =
	| {readonly kind: 'finished'; readonly promptTokens: number; readonly outputTokens: number; readonly finish: string}
	| {readonly kind: 'not-sent'; readonly reason: string}
	| {readonly kind: 'lost'; readonly reason: string; readonly isCrash: boolean}
	| {readonly kind: 'cancelled'};
