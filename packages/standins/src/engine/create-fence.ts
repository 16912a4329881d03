/**
Fencing numbers as an engine that checks them remembers them.
*/
import type {Fence} from './fence.js';

/** Numbers are compared within a scope: a cache group, or the engine itself for its orders. */
export const createFence = (checks: boolean): Fence => {
	const seen = new Map<string, number>();
	return (scope, fencingNumber) => {
		const highest = seen.get(scope) ?? -1;
		if (checks && (fencingNumber ?? -1) < highest) {
			return false;
		}

		seen.set(scope, Math.max(highest, fencingNumber ?? -1));
		return true;
	};
};
