/**
Fencing numbers as an engine that checks them remembers them.
*/

/** Says whether an order with this number may still take effect in its scope. */
export type Fence = (scope: string, fencingNumber: number | undefined) => boolean;

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
