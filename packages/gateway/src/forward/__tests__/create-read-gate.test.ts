import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createReadGate} from '../create-read-gate.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** Has `names` read again and again, each read costing `costMs` of the clock; returns the names in the order of their reads. */
const play = (gate: ReturnType<typeof createReadGate>, names: readonly string[], costMs: number) => {
	const reads: string[] = [];
	let isOver = false;
	const waitAgain = (name: string): void => {
		gate.wait({
			expectedMs: costMs,
			usedMs: 0,
			start() {
				reads.push(name);
				setImmediate(() => {
					if (!isOver) {
						waitAgain(name);
					}
				});
			},
		});
	};

	for (const name of names) {
		waitAgain(name);
	}

	return {
		reads,
		stop() {
			isOver = true;
		},
	};
};

describe('createReadGate', () => {
	it('lets a single read pass at once, without a timer', () => {
		const gate = createReadGate();
		const start = vi.fn();
		gate.wait({expectedMs: 0.1, usedMs: 0, start});
		expect(start).toHaveBeenCalledOnce();
		expect([gate.countWaiting(), vi.getTimerCount()]).toEqual([0, 0]);
	});

	it('takes a quarter of the time in the long run, in turn', () => {
		const gate = createReadGate();
		const names = Array.from({length: 200}, (_, index) => `c${index}`);
		const {reads, stop} = play(gate, names, 0.5);
		vi.advanceTimersByTime(1000);
		const costMs = reads.length * 0.5;
		expect(costMs).toBeGreaterThan(240);
		expect(costMs).toBeLessThan(310);
		expect(reads.slice(0, 400)).toEqual([...names, ...names]);
		stop();
	});

	// Guards against sound answers of some hundred KiB that wait for a read of every endless one before each read of their own.
	it('lets the answer that has cost least go first, and of equal ones the first', () => {
		const gate = createReadGate();
		const reads: string[] = [];
		gate.charge(1000);
		for (const [name, usedMs] of [['a', 5], ['b', 5], ['c', 3], ['d', 4], ['x', 0], ['y', 0]] as const) {
			gate.wait({
				expectedMs: 0, usedMs, start() {
					reads.push(name);
				},
			});
		}

		vi.advanceTimersByTime(1000);
		expect(reads).toEqual(['x', 'y', 'c', 'd', 'a', 'b']);
	});

	it('charges what a read has cost beyond its expectation', () => {
		const gate = createReadGate();
		let reads = 0;
		const waitAgain = (): void => {
			gate.wait({
				expectedMs: 0,
				usedMs: 0,
				start() {
					reads++;
					setImmediate(() => {
						gate.charge(10);
						waitAgain();
					});
				},
			});
		};

		waitAgain();
		vi.advanceTimersByTime(1000);
		expect(reads * 10).toBeGreaterThan(240);
		expect(reads * 10).toBeLessThan(320);
	});

	it('makes nobody wait longer than 200 ms because one read was held up', () => {
		const gate = createReadGate();
		const start = vi.fn();
		gate.charge(5000);
		gate.wait({expectedMs: 0.1, usedMs: 0, start});
		vi.advanceTimersByTime(201);
		expect(start).toHaveBeenCalledOnce();
	});

	it('begins few reads in an iteration of the event loop', () => {
		const gate = createReadGate();
		const start = vi.fn();
		for (let index = 0; index < 100; index++) {
			gate.wait({expectedMs: 0.5, usedMs: 0, start});
		}

		expect(start).toHaveBeenCalledTimes(4);
		vi.advanceTimersToNextTimer();
		expect(start).toHaveBeenCalledTimes(8);
	});

	it('forgets those that leave and keeps no timer for them', () => {
		const gate = createReadGate();
		const start = vi.fn();
		const turns = Array.from({length: 10}, () => ({expectedMs: 0.1, usedMs: 0, start}));
		gate.charge(1000);
		for (const turn of turns) {
			gate.wait(turn);
		}

		expect([gate.countWaiting(), vi.getTimerCount()]).toEqual([10, 1]);
		expect(turns.map(turn => gate.leave(turn))).toEqual(turns.map(() => true));
		expect([gate.countWaiting(), vi.getTimerCount()]).toEqual([0, 0]);
		vi.advanceTimersByTime(10_000);
		expect(start).not.toHaveBeenCalled();
		expect(gate.leave(turns[0]!)).toBe(false);
	});
});
