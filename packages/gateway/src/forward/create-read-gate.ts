/**
Divides processor time among the connections that bring much. Each of their reads
waits for its turn, and all of them together may take a share of the process's time,
whatever a byte costs. Answers that come in small pieces do not pass here.

Answers that have brought little and those that have brought much take turns, each
kind in the order of arrival, so that an ordinary answer need not wait for a read of
each of those that do not end.

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
	/** Whether the answer has brought little so far. */
	readonly isEarly: boolean;
	/** Called when the turn comes, at once if nobody is before it. */
	readonly start: () => void;
};

export const createReadGate = () => {
	const early = new Set<ReadTurn>();
	const late = new Set<ReadTurn>();
	let wasEarly = false;
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

	const countWaiting = (): number => early.size + late.size;

	const takeNext = (): ReadTurn | undefined => {
		const isEarlyNext = early.size > 0 && (late.size === 0 || !wasEarly);
		const queue = isEarlyNext ? early : late;
		const [turn] = queue;
		if (turn) {
			queue.delete(turn);
			wasEarly = isEarlyNext;
		}

		return turn;
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
		if (countWaiting() === 0 || cancelRound) {
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
			if (countWaiting() === 0 && canStart()) {
				startTurn(turn);
				return;
			}

			(turn.isEarly ? early : late).add(turn);
			scheduleRound();
		},
		/** Returns whether the turn was still waiting. */
		leave(turn: ReadTurn): boolean {
			const wasWaiting = early.delete(turn) || late.delete(turn);
			if (countWaiting() === 0) {
				cancelRound?.();
				cancelRound = undefined;
			}

			return wasWaiting;
		},
		/** Charges what a read has cost beyond the expectation, in milliseconds; a negative number gives back. */
		charge,
		countWaiting,
	};
};
