/**
Measures wasted cache memory: the token-time of prefixes that were held idle
within the window and not reused. Whether a prefix is reused is known only
afterwards, so its idle time is added when it is dropped.
*/

const SERIES_BUCKETS = 60;

export class WasteMeter {
	/** Wasted share of all engine memory in each part of the window, from 0 to 1. */
	readonly series: number[] = Array.from({length: SERIES_BUCKETS}, () => 0);
	readonly #bucketMs: number;

	constructor(windowMs: number, private readonly memoryTokens: number) {
		this.#bucketMs = windowMs / SERIES_BUCKETS;
	}

	/** Records that `tokens` were held from `from` to `to` without being reused. */
	add(tokens: number, from: number, to: number): void {
		for (let bucket = Math.floor(from / this.#bucketMs); bucket < SERIES_BUCKETS && bucket * this.#bucketMs < to; bucket++) {
			const startsAt = bucket * this.#bucketMs;
			const overlapMs = Math.min(to, startsAt + this.#bucketMs) - Math.max(from, startsAt);
			this.series[bucket]! += tokens * Math.max(0, overlapMs) / (this.#bucketMs * this.memoryTokens);
		}
	}

	/** Wasted share of all engine memory over the window, from 0 to 1. */
	get share(): number {
		return this.series.reduce((sum, share) => sum + share, 0) / SERIES_BUCKETS;
	}
}
