/**
A declared route: which requests it matches and how they are handled.
*/

/** `idempotent` requests may run repeatedly and `once` requests at most once. `stream` requests are answered with events and run once unless they are resumable. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: 'idempotent' | 'once' | 'stream';
	/** Services and their relative shares of the requests. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Longest time that a request is handled, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective, in milliseconds; a faster response has no further benefit. */
	readonly objectiveMs: number;
	/** Upper bound of the upstreams that may run one request. */
	readonly maxRuns: number;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** A broken stream may be resumed at another upstream. */
	readonly isResumable: boolean;
	/** The system stores the turns and sends the upstream the previous ones with each request. */
	readonly keepsTurns: boolean;
	/** Milliseconds for which turns and the token use of programs are kept. */
	readonly retentionMs: number;
	/** Calls with the same affinity key prefer the same upstream, which is faster if it handled the object recently. */
	readonly isSticky: boolean;
	/** Callers need no key. */
	readonly isOpen?: boolean;
};
