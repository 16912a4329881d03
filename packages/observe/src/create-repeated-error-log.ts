/**
Logs an error that may repeat with every request, such as a full disk, at most
once a second.
*/
import type {Logger} from './logger.js';

const INTERVAL_MS = 1000;

/** Each line has the reason of the newest error and, as `omitted`, how many have had no line since the previous one. */
export const createRepeatedErrorLog = (log: Pick<Logger, 'error'>, message: string) => {
	let loggedAt = -Infinity;
	let omitted = 0;
	return (reason: string): void => {
		if (performance.now() - loggedAt < INTERVAL_MS) {
			omitted++;
			return;
		}

		log.error(message, {reason, omitted});
		loggedAt = performance.now();
		omitted = 0;
	};
};
