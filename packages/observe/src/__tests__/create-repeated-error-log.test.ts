import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createRepeatedErrorLog} from '../create-repeated-error-log.js';

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

it('writes a line a second while an error repeats hundreds of times a second, and counts the others', () => {
	const omitted: unknown[] = [];
	const logError = createRepeatedErrorLog({
		error(_message, fields) {
			omitted.push(fields?.omitted);
		},
	}, 'failed to write');
	for (let passedMs = 0; passedMs < 5000; passedMs += 5) {
		logError('no space');
		vi.advanceTimersByTime(5);
	}

	expect(omitted).toEqual([0, 199, 199, 199, 199]);
});
