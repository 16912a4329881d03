/**
Chooses which of two ends of one request counts if neither answered the caller.
*/
import type {AttemptResult} from '../forward/attempt-result.js';

/** The first one that applies: what tells the caller most, and "not run" only if nothing else is left. */
const ORDER: ReadonlyArray<AttemptResult['kind']> = ['done', 'broken', 'gone', 'failed', 'timed-out', 'unknown', 'not-run'];

const wasSent = (result: AttemptResult): boolean => !('wasSent' in result) || result.wasSent;

/** Returns the index of the end that counts. */
export const chooseRaceResult = (first: AttemptResult, copy: AttemptResult): 0 | 1 => {
	const difference = ORDER.indexOf(first.kind) - ORDER.indexOf(copy.kind);
	return difference < 0 || (difference === 0 && (wasSent(first) || !wasSent(copy))) ? 0 : 1;
};
