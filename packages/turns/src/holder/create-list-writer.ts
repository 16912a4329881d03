/**
Writes new lists of replica groups to the platform's service, several in each call
and all calls at once, and pauses after a failure, since each call is counted.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import type {GroupProposal} from '../membership/group-proposal.js';
import type {HolderRegistry} from './holder-registry.js';

/** The platform's service takes 32 entries in one write; a list takes two, its expected revision and its value. */
const MAX_LISTS_PER_WRITE = 16;
const PAUSE_AFTER_FAILURE_MS = 1000;

const splitIntoCalls = (proposals: readonly GroupProposal[]): readonly GroupProposal[][] =>
	Array.from({length: Math.ceil(proposals.length / MAX_LISTS_PER_WRITE)}, (_, index) => proposals.slice(index * MAX_LISTS_PER_WRITE, (index + 1) * MAX_LISTS_PER_WRITE));

/** Resolves at once while it pauses. Lists that are not written are passed again by the caller, if they are still due. */
export const createListWriter = (registry: Pick<HolderRegistry, 'swap'>, log: Logger) => {
	let pausedUntil = -Infinity;
	let hasFailed = false;

	const write = async (batch: readonly GroupProposal[]): Promise<boolean> => {
		const isWritten = await registry.swap(batch);
		log.info('lists of replica groups written', {groups: batch.map(({group, list}) => `${group} version ${list.version}`), reason: batch[0]!.reason, isWritten});
		return isWritten;
	};

	return async (proposals: readonly GroupProposal[]): Promise<void> => {
		if (proposals.length === 0 || performance.now() < pausedUntil) {
			return;
		}

		// All calls start in the same turn of the event loop: no list can have changed since it was planned, and a holder that ends leaves no half of the lists unwritten. After a failure, one call is enough to learn whether the service answers again.
		const batches = splitIntoCalls(proposals).slice(0, hasFailed ? 1 : undefined);
		const results = await Promise.all(batches.map(async batch => write(batch)));
		hasFailed = results.includes(false);
		pausedUntil = hasFailed ? performance.now() + PAUSE_AFTER_FAILURE_MS : -Infinity;
	};
};
