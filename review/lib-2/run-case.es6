/**
Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it
held, 2 if the case could not run.
*/
import path from 'node:path';
import process from 'node:process';
import {createRecord} from './create-record.es6';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const TIMEOUT_MS = 115_000;

/** Runs from the root of the repository, and records in the folder of the case of this number. `play` gets the record and whether there is trouble, and resolves to why the rule was broken, or to nothing if it held. */
export const runCase = async (number, play) => {
	const record = createRecord(path.join('review', number, 'record.txt'));
	const hasTrouble = process.env.TROUBLE !== '0';
	const report = (text, code) => {
		record(text);
		process.stdout.write(`${text}\n`);
		process.exitCode = code;
	};

	// Its processes end with it, also if it is told to end.
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			report('could not run: told to end', NOT_RUN);
			process.exit(); // eslint-disable-line unicorn/no-process-exit -- As below.
		});
	}

	const late = setTimeout(() => {
		report('could not run: not over in time', NOT_RUN);
		process.exit(); // eslint-disable-line unicorn/no-process-exit -- A case is a program of its own.
	}, TIMEOUT_MS);
	try {
		const breach = await play({record, hasTrouble});
		report(breach ? `BROKEN: ${breach}` : 'held', breach ? BROKEN : HELD);
	} catch (error) {
		report(`could not run: ${error.stack}`, NOT_RUN);
	}

	clearTimeout(late);
};
