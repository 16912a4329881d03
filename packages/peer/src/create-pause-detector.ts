/**
Detects pauses of the process by the age of a timer's last tick.

A process that wakes reads what its sockets buffered before its timers run, so
the check stands on the receiving path and not in a timer of its own.
*/
import type {PauseDetector} from './pause-detector.js';

const TICK_INTERVAL_MS = 200;

/** Creates a detector that calls `onPause` when the process did not run for longer than `pauseMs`. */
export const createPauseDetector = (pauseMs: number, onPause: () => void): PauseDetector => {
	let lastTickAt = Date.now();
	let pauses = 0;
	const isWaking = () => Date.now() - lastTickAt > pauseMs;
	const timer = setInterval(() => {
		if (isWaking()) {
			pauses++;
			onPause();
		}

		lastTickAt = Date.now();
	}, TICK_INTERVAL_MS);
	timer.unref();
	return {
		isWaking,
		pauses: () => pauses,
		stop() {
			clearInterval(timer);
		},
	};
};
