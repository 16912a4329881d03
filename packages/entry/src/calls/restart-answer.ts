/**
Begins an answer anew.
*/
import type {CallProgress} from './call-progress.js';

/** What the caller was sent so far may come from another run, so it is told to drop it. */
export const restartAnswer = (progress: CallProgress): void => {
	if (progress.sentBytes > 0) {
		progress.events.onRestart();
		progress.sentBytes = 0;
	}
};
