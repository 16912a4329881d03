/**
Counts what a copy holder answers, and logs the counts of each period together with
the records and syncs that they took: what a turn costs a holder, by what it was for.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CopyStore} from '@siskinhub/turns/disk/copy-store.js';
import type {CopyRequestKind} from '@siskinhub/turns/holder/copy-request-kind.js';

const PERIOD_MS = 2000;

type RequestLogOptions = {
	readonly store: Pick<CopyStore, 'added' | 'syncs'>;
	readonly log: Pick<Logger, 'info'>;
	/** Counts one request in the metrics. */
	readonly count: (kind: CopyRequestKind) => void;
};

/** One line for each period in which there were requests. Syncs are counted anew from each compaction on. */
export const createCopyRequestLog = ({store, log, count}: RequestLogOptions) => {
	let counts: Partial<Record<CopyRequestKind, number>> = {};
	let timer: NodeJS.Timeout | undefined;
	let before = {records: store.added(), syncs: store.syncs()};

	const endPeriod = (): void => {
		timer = undefined;
		const now = {records: store.added(), syncs: store.syncs()};
		log.info('copy requests answered', {
			...counts, records: now.records - before.records, syncs: Math.max(0, now.syncs - before.syncs), withinMs: PERIOD_MS,
		});
		before = now;
		counts = {};
	};

	return {
		record(kind: CopyRequestKind): void {
			timer ??= setTimeout(endPeriod, PERIOD_MS).unref();
			counts[kind] = (counts[kind] ?? 0) + 1;
			count(kind);
		},
		close(): void {
			if (timer) {
				clearTimeout(timer);
				endPeriod();
			}
		},
	};
};
