/**
Continuous batching: each tick advances every running run by one token or by a
part of its prefill, and a run that ends makes room for the queued run of the
highest priority, the oldest first.
*/
import type {EngineRun} from './engine-run.js';
import type {Batch} from './batch.js';

/** Tokens per run and tick if the token delay is 0. */
const UNTHROTTLED_TOKENS_PER_TICK = 64;

/** Calls `tokenDelayMs` before each tick; `advance` generates up to `count` tokens and returns whether the run continues. */
export const createBatch = (
	slots: number,
	tokenDelayMs: () => number,
	advance: (run: EngineRun, count: number) => boolean,
): Batch => {
	const running = new Set<EngineRun>();
	const queue: EngineRun[] = [];
	let timer: NodeJS.Timeout | undefined;

	const startQueuedRuns = (): void => {
		while (running.size < slots && queue.length > 0) {
			queue.sort((a, b) => b.priority - a.priority || a.record.startedAt - b.record.startedAt);
			running.add(queue.shift()!);
		}
	};

	const advanceRun = (run: EngineRun, delayMs: number): boolean => {
		if (run.prefillMs > 0) {
			// At least 1 ms, so that the prefill ends even if the token delay is 0.
			run.prefillMs -= Math.max(delayMs, 1);
			return true;
		}

		return advance(run, delayMs === 0 ? UNTHROTTLED_TOKENS_PER_TICK : 1);
	};

	const tick = (delayMs: number): void => {
		timer = undefined;
		for (const run of running) {
			if (!advanceRun(run, delayMs)) {
				running.delete(run);
			}
		}

		startQueuedRuns();
		schedule();
	};

	const schedule = (): void => {
		if (timer === undefined && running.size > 0) {
			const delayMs = tokenDelayMs();
			timer = setTimeout(tick, delayMs, delayMs);
		}
	};

	return {
		add(run) {
			queue.push(run);
			startQueuedRuns();
			schedule();
		},
		remove(run) {
			running.delete(run);
			const at = queue.indexOf(run);
			if (at !== -1) {
				queue.splice(at, 1);
			}

			startQueuedRuns();
			schedule();
		},
		running: () => running.size,
		queued: () => queue.length,
		has: group => [...running, ...queue].some(run => run.record.group === group),
		stop() {
			clearTimeout(timer);
			running.clear();
			queue.length = 0;
		},
	};
};
