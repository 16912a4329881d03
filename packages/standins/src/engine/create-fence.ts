/**
Checks fencing numbers against the highest number seen so far.
*/
import type {Fence} from './fence.js';

/** Numbers are compared within a scope: a cache group, or the whole engine for orders. A missing number counts as lower than any other. Accepts every number if `isEnabled` is false. */
export const createFence = (isEnabled: boolean): Fence => {
	const highestByScope = new Map<string, number>();
	return (scope, fencingNumber) => {
		const highest = highestByScope.get(scope) ?? -1;
		if (isEnabled && (fencingNumber ?? -1) < highest) {
			return false;
		}

		highestByScope.set(scope, Math.max(highest, fencingNumber ?? -1));
		return true;
	};
};
