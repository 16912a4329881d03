/**
Estimates the current speed of an upstream: an exponential moving average of the
slot time of its calls, and the token time of its running streams. While nothing
runs, the token time decays to the nominal one.
*/

/** Weight of one call in the moving average. */
const CALL_TIME_WEIGHT = 0.05;
/** Time in which the weight of an idle upstream's last token time halves. */
const TOKEN_TIME_HALF_LIFE_MS = 60_000;

export class SpeedEstimator {
	#callMs: number;
	#tokenMs: number;
	#measuredAt = 0;

	constructor(initialCallMs: number, private readonly nominalTokenMs: number) {
		this.#callMs = initialCallMs;
		this.#tokenMs = nominalTokenMs;
	}

	recordCall(slotMs: number): void {
		this.#callMs += CALL_TIME_WEIGHT * (slotMs - this.#callMs);
	}

	/** Records the token times of the streams that run at `now`; without streams the last value stays. */
	recordTokenTimes(tokenTimes: readonly number[], now: number): void {
		if (tokenTimes.length > 0) {
			this.#tokenMs = tokenTimes.reduce((sum, time) => sum + time, 0) / tokenTimes.length;
			this.#measuredAt = now;
		}
	}

	get callMs(): number {
		return this.#callMs;
	}

	tokenMs(now: number): number {
		const weight = 0.5 ** ((now - this.#measuredAt) / TOKEN_TIME_HALF_LIFE_MS);
		return (weight * this.#tokenMs) + ((1 - weight) * this.nominalTokenMs);
	}
}
