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

/** Time in which an estimate halves without a new sample. */
const HALF_LIFE_MS = 700;
/** Weight of a new sample. */
const NEWEST_WEIGHT = 0.5;
/** Weight of a new sample in the mean of the service, to which all upstreams contribute. */
const MEAN_WEIGHT = 0.1;
/** Share by which the shortest time of the service grows a second, so that it is not forever that of one lucky call. */
const SHORTEST_GROWTH_PER_S = 0.02;
const MS_PER_S = 1000;

/** For the upstreams of one service; times are on the clock of `performance.now()`. */
export const createWaitTracker = () => {
	let shortestMs: number | undefined;
	let shortestSetAt = 0;
	let mean = 0;
	let meanSetAt = 0;

	const fadeMean = (): number => mean * (0.5 ** ((performance.now() - meanSetAt) / HALF_LIFE_MS));

	const addToMean = (excessMs: number): void => {
		mean = fadeMean();
		mean += MEAN_WEIGHT * (excessMs - mean);
		meanSetAt = performance.now();
	};

	const learnShortest = (elapsedMs: number): void => {
		const passedS = (performance.now() - shortestSetAt) / MS_PER_S;
		const grownMs = shortestMs === undefined ? Infinity : shortestMs * (1 + (SHORTEST_GROWTH_PER_S * passedS));
		shortestMs = Math.min(elapsedMs, grownMs);
		shortestSetAt = performance.now();
	};

	/** Returns how much longer than the shortest call, and than it takes to read its prompt, a call has waited. */
	const computeExcess = (sentAt: number, prefillMs: number): number => Math.max(0, performance.now() - sentAt - prefillMs - (shortestMs ?? 0));

	return {
		/** Milliseconds for which calls of this process have recently waited at the upstreams of the service, longer than at the fastest. */
		meanMs: fadeMean,
		/** Milliseconds that the shortest call of late took until it was served; `undefined` before the first. */
		shortestMs: () => shortestMs,
		/** Creates the estimate of one upstream. */
		track() {
			// In the order in which they were sent.
			const waiting = new Map<number, {readonly sentAt: number; readonly prefillMs: number}>();
			let nextId = 0;
			let estimate = 0;
			let setAt = 0;

			const fade = (): number => estimate * (0.5 ** ((performance.now() - setAt) / HALF_LIFE_MS));

			const measureOldest = (): number => {
				const [oldest] = waiting.values();
				return oldest && shortestMs !== undefined ? computeExcess(oldest.sentAt, oldest.prefillMs) : 0;
			};

			return {
				/** Counts a call that is being sent; reading its prompt takes `prefillMs` and is no waiting. */
				begin(prefillMs: number) {
					const id = nextId++;
					const sentAt = performance.now();
					waiting.set(id, {sentAt, prefillMs});
					return {
						/** The call waits no longer. If it was not served, its time counts only if it is longer than expected: a refusal comes at once. */
						end(wasServed: boolean) {
							waiting.delete(id);
							if (wasServed) {
								learnShortest(performance.now() - sentAt);
							}

							const excessMs = computeExcess(sentAt, prefillMs);
							if (wasServed || excessMs > fadeMean()) {
								addToMean(excessMs);
							}

							if (!wasServed && excessMs <= fade()) {
								return;
							}

							estimate = fade() + (NEWEST_WEIGHT * (excessMs - fade()));
							setAt = performance.now();
						},
					};
				},
				/** Milliseconds for which a call is expected to wait longer than at the fastest upstream; calls that still wait count. */
				estimateMs: () => Math.max(fade(), measureOldest()),
			};
		},
	};
};
