/**
Logs which requests broke off at which upstreams, and which requests are refused
because of that.

Expected load: an engine that ends breaks off all of its requests at once, and
each process hears of all of them. So the lines are bounded; what is left out is
counted.
*/
import {createBoundedLines} from '@siskinhub/observe/create-bounded-lines.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {Crash} from './crash.js';

const PERIOD_MS = 2000;
const MAX_LINES = 20;

export const createCrashLog = (log: Pick<Logger, 'info'>) => {
	const noted = createBoundedLines(log, {periodMs: PERIOD_MS, maxLines: MAX_LINES, omittedMessage: 'crash notes left out'});
	const blocked = createBoundedLines(log, {periodMs: PERIOD_MS, maxLines: MAX_LINES, omittedMessage: 'blocked requests left out'});
	return {
		/** `source`: whether this process saw the request break off, or another process passed it on. */
		recordNote({fingerprint, upstream, ageMs}: Crash, source: 'attempt' | 'process'): void {
			noted.write('crash noted', {
				fingerprint, upstream, source, ageMs: Math.round(ageMs),
			});
		},
		/** `crashes` are the reason why the request is sent to no upstream. */
		recordBlock(requestId: string, crashes: readonly Crash[]): void {
			blocked.write('request blocked because of crashes', {
				requestId, fingerprint: crashes[0]?.fingerprint, crashes: crashes.map(({upstream, ageMs}) => ({upstream, ageMs: Math.round(ageMs)})),
			});
		},
		close(): void {
			noted.close();
			blocked.close();
		},
	};
};
