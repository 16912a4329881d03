/**
Logs limits that are named, changed and revoked, and the permits that were issued.

Expected load: most engines of a service name limits at once, and each changes its
value with every answer. So lines are bounded: the first changes of each period
have one each, the others and all permits are counted.
*/
import {createBoundedLines} from '@siskinhub/observe/create-bounded-lines.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {UpstreamLimit} from './upstream-limit.js';

const PERIOD_MS = 2000;
/** Changes with a line of their own in each period. */
const MAX_CHANGE_LINES = 20;
/** Upstreams that the line about permits names. */
const MAX_NAMED_UPSTREAMS = 20;

type PermitCounts = {granted: number; denied: number};

export const createLimitLog = (log: Pick<Logger, 'info'>) => {
	const permits = new Map<string, PermitCounts>();
	const changes = createBoundedLines(log, {periodMs: PERIOD_MS, maxLines: MAX_CHANGE_LINES, omittedMessage: 'changes of upstream limits left out'});
	let timer: NodeJS.Timeout | undefined;

	const endPeriod = (): void => {
		timer = undefined;
		if (permits.size > 0) {
			const named = [...permits].slice(0, MAX_NAMED_UPSTREAMS).map(([upstream, {granted, denied}]) => `${upstream}: ${granted} granted, ${denied} denied`);
			log.info('permits for limited upstreams', {upstreams: permits.size, withinMs: PERIOD_MS, permits: named});
		}

		permits.clear();
	};

	const startPeriod = (): void => {
		timer ??= setTimeout(endPeriod, PERIOD_MS).unref();
	};

	return {
		/** `source`: whether the upstream said so to this process, or another process passed it on. */
		recordChange({upstream, perSecond, ageMs}: UpstreamLimit, source: 'answer' | 'process'): void {
			changes.write(perSecond === undefined ? 'upstream limit revoked' : 'upstream limit named', {
				upstream, perSecond, source, ageMs: Math.round(ageMs),
			});
		},
		countPermit(upstream: string, isGranted: boolean): void {
			startPeriod();
			const counts = permits.get(upstream) ?? {granted: 0, denied: 0};
			permits.set(upstream, counts);
			if (isGranted) {
				counts.granted++;
			} else {
				counts.denied++;
			}
		},
		close(): void {
			changes.close();
			clearTimeout(timer);
			endPeriod();
		},
	};
};
