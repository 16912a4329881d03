/**
Divides processor time among the connections that bring much. Each of their reads
waits for its turn, and all of them together may take a share of the process's time,
whatever a byte costs. Answers that come in small pieces do not pass here.

The answer that has cost least so far comes next, and of equal ones the first, so that
a sound answer of any size need not wait for a read of each of those that do not end.

Nothing runs while no connection waits.
*/

/** Share of the time that these reads may take on the whole; the rest is for everything else. */
const SHARE = 0.25;
/** Processor time that can be saved up while there are no such reads, so that a few large answers are not delayed. */
const BURST_MS = 50;
/** A read that seems to cost more than this was held up by others on the machine. */
const MAX_DEBT_MS = 50;
/** Reads that are begun in one iteration of the event loop take about this long, so that all others get their turn in between. */
const ROUND_MS = 2;
const MIN_TIMEOUT_MS = 1;

type ReadTurn = {
	/** What the read will probably cost, in milliseconds of processor time; it is charged when the turn comes. */
	readonly expectedMs: number;
	/** What the answer has cost so far, in milliseconds of processor time. */
	readonly usedMs: number;
	/** Called when the turn comes, at once if nobody is before it. */
	readonly start: () => void;
};

export const createReadGate = () => {
	const waiting = new Set<ReadTurn>();
	let balanceMs = BURST_MS;
	let refilledAt = performance.now();
	let roundMs = 0;
	let cancelRound: (() => void) | undefined;

	const refill = (): void => {
		const now = performance.now();
		balanceMs = Math.min(BURST_MS, balanceMs + ((now - refilledAt) * SHARE));
		refilledAt = now;
	};

	const charge = (ms: number): void => {
		balanceMs = Math.max(-MAX_DEBT_MS, balanceMs - ms);
		roundMs = Math.max(0, roundMs + ms);
	};

	const takeNext = (): ReadTurn | undefined => {
		let next: ReadTurn | undefined;
		for (const turn of waiting) {
			if (!next || turn.usedMs < next.usedMs) {
				next = turn;
			}
		}

		if (next) {
			waiting.delete(next);
		}

		return next;
	};

	const canStart = (): boolean => balanceMs > 0 && roundMs < ROUND_MS;

	const startTurn = (turn: ReadTurn): void => {
		charge(turn.expectedMs);
		turn.start();
	};

	const startRound = (): void => {
		cancelRound = undefined;
		roundMs = 0;
		refill();
		while (canStart()) {
			const turn = takeNext();
			if (!turn) {
				break;
			}

			startTurn(turn);
		}

		scheduleRound();
	};

	const scheduleRound = (): void => {
		if (waiting.size === 0 || cancelRound) {
			return;
		}

		if (balanceMs > 0) {
			const immediate = setImmediate(startRound);
			cancelRound = () => {
				clearImmediate(immediate);
			};

			return;
		}

		const timer = setTimeout(startRound, Math.max(MIN_TIMEOUT_MS, Math.ceil(-balanceMs / SHARE)));
		cancelRound = () => {
			clearTimeout(timer);
		};
	};

	return {
		/** Calls `start` of the turn once, unless it leaves before. */
		wait(turn: ReadTurn): void {
			refill();
			if (waiting.size === 0 && canStart()) {
				startTurn(turn);
				return;
			}

			waiting.add(turn);
			scheduleRound();
		},
		/** Returns whether the turn was still waiting. */
		leave(turn: ReadTurn): boolean {
			const wasWaiting = waiting.delete(turn);
			if (waiting.size === 0) {
				cancelRound?.();
				cancelRound = undefined;
			}

			return wasWaiting;
		},
		/** Charges what a read has cost beyond the expectation, in milliseconds; a negative number gives back. */
		charge,
		countWaiting: () => waiting.size,
	};
};
