/**
Continuous batching: every tick each running request gains a token, and a
request that ends makes room for the waiting one of the highest priority.
*/
import type {Run} from './run.js';
import type {Batch} from './batch.js';

const UNTHROTTLED_TOKENS_PER_TICK = 64;

/** `tokenDelayMs` is asked before each tick; `advance` generates up to `count` tokens and says whether the run goes on. */
export const createBatch = (
	slots: number,
	tokenDelayMs: () => number,
	advance: (run: Run, count: number) => boolean,
): Batch => {
	const running = new Set<Run>();
	const waiting: Run[] = [];
	let timer: NodeJS.Timeout | undefined;

	const fill = (): void => {
		while (running.size < slots && waiting.length > 0) {
			waiting.sort((a, b) => b.priority - a.priority || a.record.startedAt - b.record.startedAt);
			running.add(waiting.shift()!);
		}
	};

	const advanceRun = (run: Run, delayMs: number): boolean => {
		if (run.prefillMs > 0) {
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

		fill();
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
			waiting.push(run);
			fill();
			schedule();
		},
		remove(run) {
			running.delete(run);
			const at = waiting.indexOf(run);
			if (at !== -1) {
				waiting.splice(at, 1);
			}

			fill();
			schedule();
		},
		running: () => running.size,
		queued: () => waiting.length,
		has: group => [...running, ...waiting].some(run => run.record.group === group),
		stop() {
			clearTimeout(timer);
			running.clear();
			waiting.length = 0;
		},
	};
};
