/**
A declared route: which requests it takes and how they are treated.
*/

/** `idempotent` requests may run again; `once` at most once; a `stream` answers by events and runs once unless it is resumable. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: 'idempotent' | 'once' | 'stream';
	/** Services by share of the requests. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Longest time that a request is kept, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is as good as it gets, in milliseconds. */
	readonly objectiveMs: number;
	/** Upstreams that may run one request. */
	readonly maxRuns: number;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** A stream may go on at another upstream. */
	readonly isResumable: boolean;
	/** The system keeps the turns and gives the upstream those before. */
	readonly keepsTurns: boolean;
	/** Milliseconds for which turns and what programs used are kept. */
	readonly retentionMs: number;
	/** An upstream that worked on the object lately is faster. */
	readonly isSticky: boolean;
};
