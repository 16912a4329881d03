/**
Writes log lines to standard output without blocking the process when the reader
is slow; lines that exceed the buffer are dropped.
*/
import {openOutput} from './open-output.js';

const STDOUT = 1;
/** Lines that would exceed this size of the buffer are dropped and counted. */
const MAX_BUFFERED_CHARACTERS = 256 * 1024;

type StdoutWriter = {
	readonly write: (line: string) => void;
	/** Resolves once all lines passed to `write` so far are written or dropped. */
	readonly flush: () => Promise<void>;
};

/** Creates a writer to the file descriptor `fd`. Only one write runs at a time; lines that arrive during it are written together. */
export const createStdoutWriter = (fd = STDOUT): StdoutWriter => {
	const writeText = openOutput(fd);
	let buffered: string[] = [];
	let bufferedCharacters = 0;
	let droppedLines = 0;
	let isWriting = false;
	let idleListeners: Array<() => void> = [];

	const writeNext = (): void => {
		if (buffered.length === 0) {
			isWriting = false;
			for (const listener of idleListeners) {
				listener();
			}

			idleListeners = [];
			return;
		}

		isWriting = true;
		if (droppedLines > 0) {
			buffered.push(`${JSON.stringify({level: 'warn', msg: 'dropped log lines because standard output was too slow', count: droppedLines})}\n`);
			droppedLines = 0;
		}

		const text = buffered.join('');
		buffered = [];
		bufferedCharacters = 0;
		// An error is ignored: if the reader has closed the pipe, it could not be reported.
		writeText(text, writeNext);
	};

	return {
		write(line) {
			if (bufferedCharacters + line.length > MAX_BUFFERED_CHARACTERS) {
				droppedLines++;
				return;
			}

			buffered.push(`${line}\n`);
			bufferedCharacters += line.length;
			if (!isWriting) {
				isWriting = true;
				setImmediate(writeNext);
			}
		},
		flush: async () => new Promise(resolve => {
			if (isWriting) {
				idleListeners.push(resolve);
			} else {
				resolve();
			}
		}),
	};
};
