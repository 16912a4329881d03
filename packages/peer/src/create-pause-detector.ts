/**
Detects pauses of the process by the time since the last tick of a timer.

A process that resumes may read what its sockets buffered before its timers run.
So the receiving code has to call `isWaking` before it handles a message; the
timer alone would notice the pause too late.
*/
import type {PauseDetector} from './pause-detector.js';

/** Ticks in the shortest pause that counts, so that one late tick does not. */
const TICKS_PER_PAUSE = 10;
/**
When a pause begins, the process may have sent its last message up to one and a
quarter heartbeat intervals ago, which is at most half the silence timeout. So
peers may consider the process lost after a pause of the other half.
*/
const PAUSE_SHARE_OF_SILENCE = 0.5;

/** Creates a detector that calls `onPause` after the process was paused for so long that peers, which wait `silenceMs` for a message, may consider it lost. */
export const createPauseDetector = (silenceMs: number, onPause: () => void): PauseDetector => {
	const pauseMs = silenceMs * PAUSE_SHARE_OF_SILENCE;
	let lastTickAt = Date.now();
	let pauseCount = 0;
	const isWaking = () => Date.now() - lastTickAt > pauseMs;
	const timer = setInterval(() => {
		if (isWaking()) {
			pauseCount++;
			onPause();
		}

		lastTickAt = Date.now();
	}, pauseMs / TICKS_PER_PAUSE);
	timer.unref();
	return {
		isWaking,
		countPauses: () => pauseCount,
		stop() {
			clearInterval(timer);
		},
	};
};
