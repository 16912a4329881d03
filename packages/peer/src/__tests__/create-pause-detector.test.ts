import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {createPauseDetector} from '../create-pause-detector.js';

const SILENCE_MS = 4000;
const HEARTBEAT_INTERVAL_MS = 1000;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

test('a pause after which peers may consider the process lost is detected before any timer has run', () => {
	const onPause = vi.fn();
	const detector = createPauseDetector(SILENCE_MS, onPause);
	vi.advanceTimersByTime(10_000);
	expect(detector.isWaking()).toBe(false);
	// The clock advances but no timer runs, as in a pause. The last heartbeat was sent one interval before it.
	vi.setSystemTime(Date.now() + SILENCE_MS - HEARTBEAT_INTERVAL_MS);
	expect(detector.isWaking()).toBe(true);
	vi.advanceTimersByTime(1000);
	expect(onPause).toHaveBeenCalledOnce();
	expect(detector.isWaking()).toBe(false);
	detector.stop();
});
