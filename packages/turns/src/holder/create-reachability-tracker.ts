/**
Tells from the links of one holder which other disks are reachable now and which
are lost.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Holder} from '../membership/holder.js';

type TrackerOptions = {
	readonly self: Holder;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Milliseconds without an open link after which a disk counts as lost. */
	readonly lostAfterMs: number;
};

/** A disk is watched from the first check on; checking it dials its holder if there is no link. */
export const createReachabilityTracker = ({self, linkTo, lostAfterMs}: TrackerOptions) => {
	const lastSeenAt = new Map<string, number>();

	const check = (holder: Holder): 'reachable' | 'lost' | 'unknown' => {
		const {diskId} = holder;
		if (diskId === self.diskId) {
			return 'reachable';
		}

		// Another disk at this host's own address proves that the former one is gone.
		if (holder.address === self.address) {
			return 'lost';
		}

		const remoteDisk = linkTo(holder).remote()?.dataFolderId;
		const now = performance.now();
		if (remoteDisk === diskId) {
			lastSeenAt.set(diskId, now);
			return 'reachable';
		}

		if (!lastSeenAt.has(diskId)) {
			lastSeenAt.set(diskId, now);
		}

		const isReplaced = remoteDisk !== undefined;
		return isReplaced || now - lastSeenAt.get(diskId)! > lostAfterMs ? 'lost' : 'unknown';
	};

	return {
		check,
		/** Checks all of `holders`; returns disk ids. */
		checkAll(holders: readonly Holder[]) {
			const reachable = new Set<string>();
			const lost = new Set<string>();
			for (const holder of holders) {
				const state = check(holder);
				if (state === 'reachable') {
					reachable.add(holder.diskId);
				} else if (state === 'lost') {
					lost.add(holder.diskId);
				}
			}

			return {reachable, lost};
		},
	};
};
