/**
Plans and carries out changes of the replica groups while this holder is the
planner.

First lists are an exception: a group without a list cannot serve, but has no data
at stake either. So if the planner ends while groups lack their lists, the next
holder in order writes them after `FIRST_LIST_AFTER_MS` instead of waiting until
the planner counts as lost. Each is written only if the group has none yet, so
two holders that do so at once cannot overwrite each other's lists.
*/
import {choosePlanner} from '../membership/choose-planner.js';
import {countGroupSize} from '../membership/count-group-size.js';
import {GROUP_COUNT} from '../membership/group-count.js';
import type {GroupId} from '../membership/group-id.js';
import type {GroupProposal} from '../membership/group-proposal.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {planGroupChanges} from '../membership/plan-group-changes.js';
import {createGroupCompleter} from './create-group-completer.js';
import {createListWriter} from './create-list-writer.js';
import {createReachabilityTracker} from './create-reachability-tracker.js';
import {createSettledCheck} from './create-settled-check.js';
import type {HolderOptions} from './holder-options.js';

/** Longer than the opening of a link takes. With the interval of the planning and one at which gateways read lists, it is shorter than the time for which a request waits for its group's list. */
const FIRST_LIST_AFTER_MS = 150;

const listMembers = (lists: ReadonlyMap<GroupId, HolderList>): readonly Holder[] => {
	const byDisk = new Map([...lists.values()].flatMap(list => listAllHolders(list)).map(holder => [holder.diskId, holder]));
	return [...byDisk.values()];
};

export const createGroupPlanner = (options: HolderOptions) => {
	const {registry, listRetiring, onRetiring, losses, log} = options;
	const tracker = createReachabilityTracker(options);
	const firstListTracker = createReachabilityTracker({...options, lostAfterMs: FIRST_LIST_AFTER_MS});
	const isSettled = createSettledCheck(registry, countGroupSize(losses));
	const writeLists = createListWriter(registry, log);
	const completeGroups = createGroupCompleter(options);

	const reportRetiring = (members: readonly Holder[]): void => {
		for (const host of listRetiring()) {
			onRetiring(host, members.every(holder => holder.host !== host));
		}
	};

	const forgetLost = async (lost: ReadonlySet<string>, members: readonly Holder[]): Promise<void> => {
		const gone = registry.listDisks().find(({diskId}) => lost.has(diskId) && members.every(holder => holder.diskId !== diskId));
		if (gone) {
			await registry.forget(gone);
			log.info('registration of a lost disk removed', {diskId: gone.diskId, host: gone.host});
		}
	};

	const choosePart = (disks: readonly Holder[], lists: ReadonlyMap<GroupId, HolderList>): 'planner' | 'first-lists' | 'none' => {
		const {diskId} = options.self;
		if (choosePlanner(disks, tracker.check, losses) === diskId) {
			return 'planner';
		}

		// At most `losses` holders may be lost, so one of the first in order is left; the others need no links to all disks.
		const isEarly = disks.filter(disk => disk.diskId < diskId).length <= losses;
		if (lists.size === GROUP_COUNT || !isEarly) {
			return 'none';
		}

		// Dials all disks, so that they are known to be reachable by the time this holder has to choose among them.
		tracker.checkAll(disks);
		return choosePlanner(disks, firstListTracker.check, losses) === diskId ? 'first-lists' : 'none';
	};

	return {
		/** Must be called regularly; does the next step if it is up to this holder. `lists` holds the list of each group that has one. */
		async plan(lists: ReadonlyMap<GroupId, HolderList>): Promise<void> {
			const areDisksSettled = isSettled();
			const disks = registry.listDisks();
			const part = choosePart(disks, lists);
			if (part === 'none') {
				return;
			}

			const members = listMembers(lists);
			const {reachable, lost} = tracker.checkAll([...disks, ...members]);
			const retiring = listRetiring();
			const {proposals, completions} = planGroupChanges({
				candidates: disks.filter(({diskId, host}) => reachable.has(diskId) && !retiring.has(host)), reachable, lost, retiring, losses,
			}, lists);
			const isFirst = ({list}: GroupProposal): boolean => list.version === 1;
			const firstLists = areDisksSettled ? proposals.filter(proposal => isFirst(proposal)) : [];
			if (part === 'first-lists') {
				await writeLists(firstLists);
				return;
			}

			await writeLists([...completeGroups(completions, lists), ...proposals.filter(proposal => !isFirst(proposal)), ...firstLists]);
			reportRetiring(members);
			await forgetLost(lost, members);
		},
	};
};
