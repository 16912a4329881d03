/**
Writes one line for each request whose outcome somebody may ask about, and a
bounded number for those that went well.

Pattern of load: bursts of hundreds of requests a second in each process, nearly
all of them answered in time at the first upstream. A request that was refused,
failed, given up, late or sent twice is never left out; of the others the first
ones of each second are written, and a summary says how many were not.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CallLog} from './call-log.js';

/** Lines of unremarkable requests that a process writes in a second. */
const MAX_ROUTINE_LINES_PER_S = 40;
const WINDOW_MS = 1000;

/** The summary follows within a second of the first line that was left out. */
export const createCallLog = (log: Logger): CallLog => {
	let writtenCount = 0;
	let omittedCount = 0;
	let timer: NodeJS.Timeout | undefined;

	const endWindow = (): void => {
		timer = undefined;
		writtenCount = 0;
		if (omittedCount > 0) {
			log.info('calls left out', {count: omittedCount, withinMs: WINDOW_MS, outcome: 'done'});
			omittedCount = 0;
		}
	};

	return {
		write(fields, isRoutine) {
			if (!isRoutine) {
				log.info('call', fields);
				return;
			}

			timer ??= setTimeout(endWindow, WINDOW_MS).unref();
			if (writtenCount < MAX_ROUTINE_LINES_PER_S) {
				writtenCount++;
				log.info('call', fields);
			} else {
				omittedCount++;
			}
		},
		close() {
			clearTimeout(timer);
			endWindow();
		},
	};
};
