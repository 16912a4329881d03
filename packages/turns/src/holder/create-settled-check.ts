/**
Tells whether all disks that start together have registered.
*/
import type {HolderRegistry} from './holder-registry.js';

/** Disks that start together register within a few hundred milliseconds of each other. */
const SETTLED_AFTER_MS = 700;
/** Disks on busy machines may start a second and a half later than others, and registrations are read at intervals. A group that lacks members cannot be written to while one of them restarts, so it is worth waiting for them. */
const INCOMPLETE_AFTER_MS = 2500;

/** The returned function must be called regularly; it returns whether the set of registered disks has been the same for `SETTLED_AFTER_MS`, or for `INCOMPLETE_AFTER_MS` if there are fewer than `groupSize`. */
export const createSettledCheck = (registry: Pick<HolderRegistry, 'listDisks'>, groupSize: number): () => boolean => {
	let known = '';
	let changedAt = performance.now();
	return () => {
		const disks = registry.listDisks();
		const ids = disks.map(({diskId}) => diskId).toSorted().join(' ');
		if (ids !== known) {
			known = ids;
			changedAt = performance.now();
		}

		return performance.now() - changedAt >= (disks.length < groupSize ? INCOMPLETE_AFTER_MS : SETTLED_AFTER_MS);
	};
};
