/**
Restarts an answer at byte 0.
*/
import type {CallProgress} from './call-progress.js';

/** Tells the caller to discard what it has received, which may come from another run; does nothing if it has received nothing. */
export const restartAnswer = (progress: CallProgress): void => {
	if (progress.sentBytes > 0) {
		progress.events.onRestart();
		progress.sentBytes = 0;
	}
};
