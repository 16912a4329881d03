/**
Estimates for how long a call waits at each upstream of a service before it is
served, from this process's own calls.

Load pattern: tens of processes send to the same engines, and each sees only its
own few calls. An engine that all of them prefer, because it holds a prefix that
many programs share, fills up while each of them believes it to be nearly idle.
How long the own calls waited there shows the calls of all others, without a
message. Estimates fade, since an engine from which all have turned away empties
within a second.
*/

/** Approximate prompt tokens that an engine reads per millisecond; reading is no waiting. */
const PREFILL_TOKENS_PER_MS = 40;
/** Time in which an estimate halves without a new sample. */
const HALF_LIFE_MS = 700;
/** Weight of a new sample. */
const NEWEST_WEIGHT = 0.5;
/** The shortest time of the service follows longer ones by this share of the difference, so that it is not forever that of one lucky call. */
const SHORTEST_DRIFT = 0.01;

/** For the upstreams of one service; times are on the clock of `performance.now()`. */
export const createWaitTracker = () => {
	let shortestMs: number | undefined;

	/** Returns how much longer than the shortest it was. */
	const learn = (elapsedMs: number): number => {
		shortestMs = shortestMs === undefined || elapsedMs < shortestMs ? elapsedMs : shortestMs + (SHORTEST_DRIFT * (elapsedMs - shortestMs));
		return Math.max(0, elapsedMs - shortestMs);
	};

	return {
		/** Creates the estimate of one upstream. */
		track() {
			// In the order in which they were sent.
			const waiting = new Map<number, number>();
			let nextId = 0;
			let estimate = 0;
			let setAt = 0;

			const fade = (): number => estimate * (0.5 ** ((performance.now() - setAt) / HALF_LIFE_MS));

			const measureOldest = (): number => {
				const [oldest] = waiting.values();
				return oldest === undefined ? 0 : performance.now() - oldest - (shortestMs ?? 0);
			};

			return {
				/** Counts a call that is being sent and has to read `prefillTokens`. */
				begin(prefillTokens: number) {
					const id = nextId++;
					const startedAt = performance.now() + (prefillTokens / PREFILL_TOKENS_PER_MS);
					waiting.set(id, startedAt);
					return {
						/** The call waits no longer. If it was not served, its time counts as far as it is longer than expected. */
						end(wasServed: boolean) {
							waiting.delete(id);
							const elapsedMs = Math.max(0, performance.now() - startedAt);
							const excessMs = wasServed ? learn(elapsedMs) : Math.max(fade(), elapsedMs - (shortestMs ?? 0));
							estimate = fade() + (NEWEST_WEIGHT * (excessMs - fade()));
							setAt = performance.now();
						},
					};
				},
				/** Milliseconds for which a call is expected to wait longer than at the fastest upstream; calls that still wait count. */
				estimateMs: () => Math.max(0, fade(), measureOldest()),
			};
		},
	};
};
