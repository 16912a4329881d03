/**
Chooses the one holder that plans changes of the replica groups. It needs no
election: the registered disk with the lowest id that is reachable plans.

Two holders may consider themselves the planner while links fail. That is safe,
because every change is a compare-and-swap of its group's list; it only costs
calls to the platform's service that fail.
*/
import type {Holder} from './holder.js';

/** `unknown`: not reachable, but not for long enough to count as lost. */
type Reachability = 'reachable' | 'lost' | 'unknown';

/**
Returns the planner's disk id, or `undefined` while it is not certain. `check` is
called for the first few disks in the order of their ids, and for further ones
only if those are lost, so that holders need no links to all others.
*/
export const choosePlanner = (disks: readonly Holder[], check: (holder: Holder) => Reachability, losses: number): string | undefined => {
	const inOrder = disks.toSorted((a, b) => a.diskId < b.diskId ? -1 : 1);
	// Several are checked at once, so that a few lost disks do not take their timeouts one after the other.
	const first = inOrder.slice(0, losses + 1).map(holder => check(holder));
	for (const [index, holder] of inOrder.entries()) {
		const state = first[index] ?? check(holder);
		if (state !== 'lost') {
			return state === 'reachable' ? holder.diskId : undefined;
		}
	}

	return undefined;
};
