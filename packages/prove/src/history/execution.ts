/**
One run of a request on an upstream, as the upstream itself recorded it.
*/

/** An engine's run or a service's effect. */
export type Execution = {
	/** Names the logical request that ran. */
	readonly mark: string;
	/** The program's id, taken from the cache group; empty for a plain service. */
	readonly program: string;
	readonly upstream: string;
	readonly kind: 'model' | 'service';
	/** Milliseconds since the Unix epoch. */
	readonly startedAt: number;
	readonly endedAt?: number;
	/** `lost`: the upstream died during the run. */
	readonly fate: 'finished' | 'cancelled' | 'lost' | 'running';
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** The text that the run produced, which the caller must receive; empty for a plain service. */
	readonly text: string;
	/** The confirmation that a plain service gave. */
	readonly confirmation?: string;
};
