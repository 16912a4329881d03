/**
Writes at most a number of lines in each period and counts the others in one more
line, for decisions that may come by the hundred at once.
*/
import type {Logger} from './logger.js';

type BoundedLinesOptions = {
	readonly periodMs: number;
	/** Lines in each period. */
	readonly maxLines: number;
	/** The message that counts the lines left out. */
	readonly omittedMessage: string;
};

/** The summary is written at the end of the period in which lines were left out. */
export const createBoundedLines = (log: Pick<Logger, 'info'>, {periodMs, maxLines, omittedMessage}: BoundedLinesOptions) => {
	let lines = 0;
	let timer: NodeJS.Timeout | undefined;

	const endPeriod = (): void => {
		timer = undefined;
		if (lines > maxLines) {
			log.info(omittedMessage, {count: lines - maxLines, withinMs: periodMs});
		}

		lines = 0;
	};

	return {
		write(message: string, fields: Readonly<Record<string, unknown>>): void {
			timer ??= setTimeout(endPeriod, periodMs).unref();
			lines++;
			if (lines <= maxLines) {
				log.info(message, fields);
			}
		},
		close(): void {
			clearTimeout(timer);
			endPeriod();
		},
	};
};
