/**
Tells whether all disks that start together have registered.
*/
import type {HolderRegistry} from './holder-registry.js';

/** Disks that start together register within a few hundred milliseconds of each other. */
const SETTLED_AFTER_MS = 700;

/** The returned function must be called regularly; it returns whether the set of registered disks has been the same for `SETTLED_AFTER_MS`. */
export const createSettledCheck = (registry: Pick<HolderRegistry, 'listDisks'>): () => boolean => {
	let known = '';
	let changedAt = performance.now();
	return () => {
		const ids = registry.listDisks().map(({diskId}) => diskId).toSorted().join(' ');
		if (ids !== known) {
			known = ids;
			changedAt = performance.now();
		}

		return performance.now() - changedAt >= SETTLED_AFTER_MS;
	};
};
