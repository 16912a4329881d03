/**
Writes log lines to standard output without ever waiting for its reader.
*/
import {write as writeFile} from 'node:fs';

const STDOUT = 1;
/** Lines that wait beyond this are left out and counted. */
const MAX_WAITING_CHARACTERS = 256 * 1024;

type StdoutWriter = {
	readonly write: (line: string) => void;
	/** Resolves once everything given so far is written or left out. */
	readonly flush: () => Promise<void>;
};

/** One write is under way at a time; lines that come meanwhile are written together. */
export const createStdoutWriter = (fd = STDOUT): StdoutWriter => {
	let waiting: string[] = [];
	let characters = 0;
	let leftOut = 0;
	let isWriting = false;
	let idle: Array<() => void> = [];

	const next = (): void => {
		if (waiting.length === 0) {
			isWriting = false;
			for (const wake of idle) {
				wake();
			}

			idle = [];
			return;
		}

		isWriting = true;
		if (leftOut > 0) {
			waiting.push(`${JSON.stringify({level: 'warn', msg: 'log lines were left out', count: leftOut})}\n`);
			leftOut = 0;
		}

		const text = waiting.join('');
		waiting = [];
		characters = 0;
		// A reader that is gone leaves nobody to tell.
		writeFile(fd, text, next);
	};

	return {
		write(line) {
			if (characters + line.length > MAX_WAITING_CHARACTERS) {
				leftOut++;
				return;
			}

			waiting.push(`${line}\n`);
			characters += line.length;
			if (!isWriting) {
				isWriting = true;
				setImmediate(next);
			}
		},
		flush: async () => new Promise(resolve => {
			if (isWriting) {
				idle.push(resolve);
			} else {
				resolve();
			}
		}),
	};
};
