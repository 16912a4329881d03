/**
Compacts the log of copies whenever it, or the number of records in memory, has grown
large.

Load patterns: turns of 30 KB that are kept, whose bytes fill the disk; and turns that
are not kept, each of which leaves two small records, whose number fills the memory
long before their bytes are many.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CopyStore} from '@siskinhub/turns/disk/copy-store.js';

/** The log is compacted at this size, and then whenever it has doubled since. */
const MIN_BYTES = 48 * 1024 * 1024;
/** The same for the number of records, each of which takes a few hundred bytes of memory. */
const MIN_RECORDS = 100_000;
const CHECK_INTERVAL_MS = 5000;

type CompactedStore = Pick<CopyStore, 'bytes' | 'size' | 'compact'>;

/** Runs until the signal aborts. */
export const compactWhenLarge = async (copies: CompactedStore, log: Pick<Logger, 'info' | 'error'>, signal: AbortSignal): Promise<void> => {
	let nextBytes = MIN_BYTES;
	let nextRecords = MIN_RECORDS;
	while (!signal.aborted) {
		await waitUnlessAborted(CHECK_INTERVAL_MS, signal);
		if (signal.aborted || (copies.bytes() < nextBytes && copies.size() < nextRecords)) {
			continue;
		}

		const before = {bytes: copies.bytes(), records: copies.size()};
		const compacted = await copies.compact();
		const after = {bytes: copies.bytes(), records: copies.size()};
		nextBytes = Math.max(MIN_BYTES, after.bytes * 2);
		nextRecords = Math.max(MIN_RECORDS, after.records * 2);
		if (compacted.isErr()) {
			log.error('failed to compact the log of copies', {reason: compacted.error});
		} else {
			log.info('log of copies compacted', {before, after});
		}
	}
};
