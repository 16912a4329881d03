/**
Writes one log line for each request that did not go as planned, and rate-limits
the lines for routine requests.

Expected load: bursts of hundreds of requests a second per process, nearly all
answered in time by the first upstream. Requests that were refused, failed,
abandoned, late or sent twice are always logged. Of the routine ones the first of
each second are logged, and a summary line counts the omitted ones.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CallLog} from './call-log.js';

/** Per process. */
const MAX_ROUTINE_LINES_PER_S = 40;
const WINDOW_MS = 1000;

/** The summary is written within a second of the first omitted line, and names the routine requests by `outcome`. */
export const createCallLog = (log: Logger, outcome = 'done'): CallLog => {
	let writtenCount = 0;
	let omittedCount = 0;
	let timer: NodeJS.Timeout | undefined;

	const endWindow = (): void => {
		timer = undefined;
		writtenCount = 0;
		if (omittedCount > 0) {
			log.info('calls left out', {count: omittedCount, withinMs: WINDOW_MS, outcome});
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
