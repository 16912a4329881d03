/**
Tracks the recent speed of an upstream.
*/

const CALL_WEIGHT = 0.05;
/** Time in which an idle upstream's last pace loses half its say. */
const PACE_HALF_LIFE_MS = 60_000;

/** Moving averages of call time and token time. */
export class PaceMeter {
	#callMs: number;
	#tokenMs: number;
	#seenAt = 0;

	constructor(initialCallMs: number, private readonly nominalTokenMs: number) {
		this.#callMs = initialCallMs;
		this.#tokenMs = nominalTokenMs;
	}

	recordCall(slotMs: number): void {
		this.#callMs += CALL_WEIGHT * (slotMs - this.#callMs);
	}

	/** Records the token times that running streams show now. */
	recordPace(tokenTimes: readonly number[], now: number): void {
		if (tokenTimes.length > 0) {
			this.#tokenMs = tokenTimes.reduce((sum, time) => sum + time, 0) / tokenTimes.length;
			this.#seenAt = now;
		}
	}

	get callMs(): number {
		return this.#callMs;
	}

	tokenMs(now: number): number {
		const trust = 0.5 ** ((now - this.#seenAt) / PACE_HALF_LIFE_MS);
		return (trust * this.#tokenMs) + ((1 - trust) * this.nominalTokenMs);
	}
}
