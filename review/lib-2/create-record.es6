/**
Writes what was sent, answered and run to the record of a case, one line each.
*/
import {writeFileSync, appendFileSync} from 'node:fs';

const MS_PER_S = 1000;
const DIGITS = 3;

/** Begins the file anew; times count from then on. */
export const createRecord = file => {
	const startedAt = performance.now();
	writeFileSync(file, '');
	return text => {
		const seconds = ((performance.now() - startedAt) / MS_PER_S).toFixed(DIGITS);
		appendFileSync(file, `${seconds.padStart(8)} s  ${text}\n`);
	};
};
