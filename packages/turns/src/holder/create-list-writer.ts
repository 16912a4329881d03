/**
Writes new lists of replica groups to the platform's service, several in one call,
and pauses after a failure, since each call is counted.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {GroupProposal} from '../membership/group-proposal.js';
import type {HolderRegistry} from './holder-registry.js';

/** The platform's service takes a limited number of entries in one write. */
const MAX_LISTS_PER_WRITE = 16;
const PAUSE_AFTER_FAILURE_MS = 1000;

/** Resolves at once while it pauses. Lists that are not written are passed again by the caller, if they are still due. */
export const createListWriter = (registry: Pick<HolderRegistry, 'swap'>, log: Logger) => {
	let pausedUntil = -Infinity;
	return async (proposals: readonly GroupProposal[]): Promise<void> => {
		const batch = proposals.slice(0, MAX_LISTS_PER_WRITE);
		const [first] = batch;
		if (!first || performance.now() < pausedUntil) {
			return;
		}

		const isWritten = await registry.swap(batch);
		pausedUntil = isWritten ? -Infinity : performance.now() + PAUSE_AFTER_FAILURE_MS;
		log.info('lists of replica groups written', {groups: batch.map(({group, list}) => `${group} version ${list.version}`), reason: first.reason, isWritten});
	};
};
