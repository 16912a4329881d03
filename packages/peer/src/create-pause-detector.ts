/**
Detects pauses of the process by the age of a timer's last tick.

A process that wakes reads what its sockets buffered before its timers run, so
the check stands on the receiving path and not in a timer of its own.
*/
import type {PauseDetector} from './pause-detector.js';

/** Ticks in the shortest pause that counts; a tick that comes a little late is none. */
const TICKS_PER_PAUSE = 10;
/**
The last message before a pause may be up to one heartbeat interval older than
the pause, and an interval is at most half the silence bound: peers may give a
process up that was paused for the other half.
*/
const PAUSE_SHARE_OF_SILENCE = 0.5;

/** Creates a detector that calls `onPause` when the process did not run for so long that peers, whose bound is `silenceMs`, may have given it up. */
export const createPauseDetector = (silenceMs: number, onPause: () => void): PauseDetector => {
	const pauseMs = silenceMs * PAUSE_SHARE_OF_SILENCE;
	let lastTickAt = Date.now();
	let pauses = 0;
	const isWaking = () => Date.now() - lastTickAt > pauseMs;
	const timer = setInterval(() => {
		if (isWaking()) {
			pauses++;
			onPause();
		}

		lastTickAt = Date.now();
	}, pauseMs / TICKS_PER_PAUSE);
	timer.unref();
	return {
		isWaking,
		pauses: () => pauses,
		stop() {
			clearInterval(timer);
		},
	};
};
