/**
Brings the present holders of a shard up to date after the set of holders has
changed. An operator who replaces a host does nothing for it.
*/
import type {ProgramBook} from './program-book.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

/** Reads every program once, which repairs its copies, then says in the log that the earlier holders are no longer needed; false if not all could be read. */
export const refillHolders = async ({shard, sources, histories, shardLog, log}: ShardOwnerOptions, book: ProgramBook): Promise<boolean> => {
	if (sources.length === 0) {
		return true;
	}

	let copied = 0;
	for (const group of sources) {
		const listed = await histories.listPrograms(group, shard);
		if (listed.isErr()) {
			log.warn('the earlier history holders cannot be read yet', {shard, reason: listed.error.message});
			return false;
		}

		for (const program of listed.value) {
			const found = await book.find(program);
			if (found.isErr()) {
				log.warn('a history could not be copied', {shard, programId: program, reason: found.error.message});
				return false;
			}

			copied++;
		}
	}

	const appended = await shardLog.append({kind: 'refilled'});
	log.info('history holders refilled', {shard, programs: copied, ok: appended.isOk()});
	return appended.isOk() || shardLog.isFenced();
};
