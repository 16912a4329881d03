/**
Judges the end of an attempt for the load tracker.
*/
import type {AttemptResult} from './attempt-result.js';

/** Says what the end of an attempt tells of its upstream's load and answers. */
export const judgeLoadEnd = (result: AttemptResult): 'done' | 'left' | 'failed' | 'unproven' | 'full' => {
	if (result.kind === 'done') {
		return 'done';
	}

	if (result.kind === 'gone') {
		return 'left';
	}

	if (result.kind === 'not-run' && result.isFull) {
		return 'full';
	}

	return (result.kind === 'unknown' || result.kind === 'broken') && !result.isSound ? 'unproven' : 'failed';
};
