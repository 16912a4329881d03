/**
Writes down what was sent, answered and run, with the seconds since the start.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const MS_PER_S = 1000;

/** The record is written to `record.txt` in `folder` when it is closed. */
export const createRecord = folder => {
	const startedAt = performance.now();
	const lines = [];
	return {
		/** Seconds since the start. */
		seconds: () => (performance.now() - startedAt) / MS_PER_S,
		log(text) {
			const line = `${((performance.now() - startedAt) / MS_PER_S).toFixed(2).padStart(7)} ${text}`;
			lines.push(line);
			process.stdout.write(`${line}\n`);
		},
		close() {
			writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
};
