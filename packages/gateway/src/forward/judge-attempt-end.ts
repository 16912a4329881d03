/**
Judges from the end of an attempt whether its upstream may have ended under it.
*/
import type {AttemptResult} from './attempt-result.js';

/** `lost`: the connection ended first. `unanswered`: the upstream may have ended, or run on. `answered`: it ran on, or the request never reached it. */
export const judgeAttemptEnd = (result: AttemptResult): 'answered' | 'unanswered' | 'lost' => {
	switch (result.kind) {
		case 'failed':
		case 'not-run': {
			return 'answered';
		}

		case 'done': {
			return result.isFramed ? 'answered' : 'unanswered';
		}

		case 'gone':
		case 'timed-out': {
			return result.wasSent ? 'unanswered' : 'answered';
		}

		case 'unknown':
		case 'broken': {
			return result.isConnectionLost ? 'lost' : 'unanswered';
		}
	}
};
