import {ok} from 'neverthrow';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {compactWhenLarge} from '../compact-when-large.js';

const MEBIBYTE = 1024 * 1024;
const log = {info: vi.fn<() => void>(), error: vi.fn<() => void>()};

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

/** Returns how often the store was compacted while it had these sizes, one after the other; a compaction halves it. */
const countCompactions = async (sizes: ReadonlyArray<{readonly bytes: number; readonly records: number}>): Promise<number> => {
	let current = {bytes: 0, records: 0};
	const compact = vi.fn(async () => {
		current = {bytes: current.bytes / 2, records: current.records / 2};
		return ok();
	});
	const stopping = new AbortController();
	void compactWhenLarge({bytes: () => current.bytes, size: () => current.records, compact}, log, stopping.signal);
	for (const size of sizes) {
		current = size;
		await vi.advanceTimersByTimeAsync(5000);
	}

	stopping.abort();
	return compact.mock.calls.length;
};

it('compacts a large log, and again once it has doubled', async () => {
	const sizes = [40, 50, 40, 60].map(mebibytes => ({bytes: mebibytes * MEBIBYTE, records: 10}));
	expect(await countCompactions(sizes)).toBe(2);
});

// Guards against holders that run out of heap: 300,000 small records of expired programs stayed in memory, as their log was below the size to compact at.
it('compacts many small records, however few bytes they have', async () => {
	const sizes = [90_000, 120_000, 90_000, 150_000].map(records => ({bytes: 20 * MEBIBYTE, records}));
	expect(await countCompactions(sizes)).toBe(2);
});
