/**
Copies a shard's histories to its current holders after the set of holders has
changed, so that replacing a host needs no further action by the operator.
*/
import type {ProgramRegistry} from './program-registry.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';

/** Reads every program once, which repairs its copies, then records in the log that the earlier holders are no longer needed; false if that must be retried. */
export const copyHistories = async ({shard, sources, histories, shardLog, log}: ShardOwnerOptions, registry: ProgramRegistry): Promise<boolean> => {
	if (sources.length === 0) {
		return true;
	}

	let copiedPrograms = 0;
	for (const group of sources) {
		const listed = await histories.listPrograms(group, shard);
		if (listed.isErr()) {
			log.warn('failed to list the programs of the earlier history holders; retrying', {shard, reason: listed.error.message});
			return false;
		}

		for (const program of listed.value) {
			const found = await registry.find(program);
			if (found.isErr()) {
				log.warn('failed to copy a history to the current history holders; retrying', {shard, programId: program, reason: found.error.message});
				return false;
			}

			copiedPrograms++;
		}
	}

	const appended = await shardLog.append({kind: 'refilled'});
	log.info('histories copied to the current history holders', {shard, programs: copiedPrograms, ok: appended.isOk()});
	return appended.isOk() || shardLog.isFenced();
};
