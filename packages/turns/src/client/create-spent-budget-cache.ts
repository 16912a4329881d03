/**
Caches which programs have spent their token budget, so that further turns of
theirs are refused without asking the holders.

Guards against a program in a loop that starts turn after turn: without the
cache, each refused turn would write a reservation and its release to every
holder's disk. Only tokens of settled turns are counted. Their sum never
decreases, so a refusal based on it stays correct; a running turn's reservation
may still settle for less.

A refusal from the cache does not reach the holders, which keep what a program used
for a time after they last heard of it. So an entry is used only for a while, and the
holders are then asked about the program again.
*/

/** When the cache is full, the program that was updated longest ago is evicted; the holders are then asked about it again. */
const MAX_PROGRAMS = 5000;
/** Below the time by which holders keep what a program used beyond its retention. */
const MAX_AGE_MS = 10_000;

type SpentBudget = {
	readonly tokens: number;
	/** By `performance.now()`. */
	readonly updatedAt: number;
};

export const createSpentBudgetCache = () => {
	const settledByProgram = new Map<string, SpentBudget>();
	return {
		/** `settledTokens` is the sum over the program's settled turns, as far as the holders that answered know it. A smaller sum than the cached one is ignored. */
		update(program: string, settledTokens: number): void {
			const known = settledByProgram.get(program)?.tokens ?? 0;
			settledByProgram.delete(program);
			settledByProgram.set(program, {tokens: Math.max(known, settledTokens), updatedAt: performance.now()});
			const [oldest] = settledByProgram.keys();
			if (settledByProgram.size > MAX_PROGRAMS && oldest !== undefined) {
				settledByProgram.delete(oldest);
			}
		},
		/** Whether `tokens` more would exceed the budget for certain. */
		isSpent(program: string, tokens: number, budget: number): boolean {
			const settled = settledByProgram.get(program);
			return settled !== undefined && performance.now() - settled.updatedAt < MAX_AGE_MS && settled.tokens + tokens > budget;
		},
	};
};
