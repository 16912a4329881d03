/**
Tracks for each replica group whether this process can reach a write quorum of
its holders, and whether it is cut off from the system as a whole.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {GroupId} from '../membership/group-id.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {listGroups} from '../membership/list-groups.js';
import {createQuorumMonitor} from './create-quorum-monitor.js';

type MonitorOptions = {
	readonly readList: (group: GroupId) => HolderList | undefined;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
};

/** A process that reaches a smaller share of the groups is better left out by the balancer. */
const MIN_REACHABLE_SHARE = 0.5;
/** The state of all groups is evaluated at most this often. */
const EVALUATION_INTERVAL_MS = 100;

/** Creates the monitors; a group is evaluated only when it is asked for. */
export const createGroupMonitors = ({readList, linkTo, losses}: MonitorOptions) => {
	const monitors = new Map<GroupId, ReturnType<typeof createQuorumMonitor>>();

	const hasRecentQuorum = (group: GroupId, withinMs: number): boolean => {
		const list = readList(group);
		if (!list) {
			return false;
		}

		const recentlyHeard = listAllHolders(list).filter(holder => {
			const link = linkTo(holder);
			return link.remote() && link.silentForMs() <= withinMs;
		});
		return hasQuorum(list, 'write', new Set(recentlyHeard.map(({diskId}) => diskId)), losses);
	};

	const getMonitor = (group: GroupId): ReturnType<typeof createQuorumMonitor> => {
		const existing = monitors.get(group);
		if (existing) {
			return existing;
		}

		const monitor = createQuorumMonitor(withinMs => hasRecentQuorum(group, withinMs));
		monitors.set(group, monitor);
		return monitor;
	};

	const hasShare = (isFine: (group: GroupId) => boolean): boolean => {
		const groups = listGroups();
		return groups.filter(group => isFine(group)).length >= groups.length * MIN_REACHABLE_SHARE;
	};

	let evaluated = {at: -Infinity, isCutOff: false};

	return {
		recordFailedRound(group: GroupId, startedAt: number): void {
			getMonitor(group).recordFailedRound(startedAt);
		},
		/** For how many milliseconds waiting for the group has been futile; 0 while a request may still get a quorum. */
		cutOffForMs: (group: GroupId): number => getMonitor(group).cutOffForMs(),
		/** Whether a write quorum of most groups is reachable now. Dials the holders that do not answer. */
		isReady: (): boolean => hasShare(group => getMonitor(group).isReachable()),
		/** Whether waiting is futile for most groups. */
		isCutOff(): boolean {
			const now = performance.now();
			if (now - evaluated.at >= EVALUATION_INTERVAL_MS) {
				evaluated = {at: now, isCutOff: !hasShare(group => getMonitor(group).cutOffForMs() === 0)};
			}

			return evaluated.isCutOff;
		},
	};
};
