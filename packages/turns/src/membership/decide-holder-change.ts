/**
Decides how the list of holders changes: which disk joins or replaces another,
and which is removed because it is lost or its host is being retired.

Every change goes through a list with `next`: operations need a quorum of both
the old and the new holders until the new ones have copied what the old ones
have. Only a holder that reaches a read quorum of the current list acts, so a
host that is cut off removes no other holder. Of the listed holders that it
reaches, the one with the lowest disk id is the leader and makes the changes; a
disk that is not listed yet proposes its own join.
*/
import {countQuorum} from '../membership/count-quorum.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';
import {listAllHolders} from './list-all-holders.js';

/** The state as one holder sees it. */
type HolderView = {
	readonly list: HolderList | undefined;
	readonly self: Holder;
	/** Disk ids of the holders whose links are open, including its own. */
	readonly reachable: ReadonlySet<string>;
	/** Disk ids of the holders that count as lost: unreachable for too long, or another disk is at their address. */
	readonly lost: ReadonlySet<string>;
	/** Hosts that operators are retiring; their copies must move to other holders. */
	readonly retiring: ReadonlySet<string>;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
};

/** `propose`: write `list`. `complete`: have the holders in `copying` copy what they lack, then write `list`, whose current holders are the former `next`. */
type HolderChange =
	| {readonly kind: 'none'}
	| {readonly kind: 'propose'; readonly list: HolderList; readonly reason: string}
	| {readonly kind: 'complete'; readonly copying: readonly Holder[]; readonly list: HolderList};

const NONE: HolderChange = {kind: 'none'};

/** A read quorum overlaps every write quorum, so its holders together have every write. */
const reachesReadQuorum = (holders: readonly Holder[], reachable: ReadonlySet<string>, losses: number): boolean =>
	holders.filter(({diskId}) => reachable.has(diskId)).length >= countQuorum(holders.length, losses).read;

const includes = (holders: readonly Holder[], {diskId}: Holder): boolean => holders.some(holder => holder.diskId === diskId);

const propose = ({version, current}: HolderList, next: readonly Holder[] | undefined, reason: string): HolderChange => ({
	kind: 'propose', list: {version: version + 1, current, ...(next && {next})}, reason,
});

const decideJoin = ({self, reachable, lost, losses}: HolderView, list: HolderList): HolderChange => {
	// This host's former disk is certainly gone. Lost holders are replaced in the same step if more than `losses` holders remain, the new one included.
	const others = list.current.filter(({host}) => host !== self.host);
	const alive = others.filter(({diskId}) => !lost.has(diskId));
	const next = [...(alive.length + 1 > losses ? alive : others), self];
	return reachesReadQuorum(list.current, reachable, losses) ? propose(list, next, 'the disk of this host is added') : NONE;
};

const decideRemoval = ({lost, retiring, reachable, losses}: HolderView, list: HolderList): HolderChange => {
	const staying = list.current.filter(({host}) => !retiring.has(host));
	if (staying.length < list.current.length) {
		return staying.length > losses && staying.every(({diskId}) => reachable.has(diskId)) ? propose(list, staying, 'the disks of retiring hosts are removed') : NONE;
	}

	const alive = list.current.filter(({diskId}) => !lost.has(diskId));
	const shouldRemoveLost = alive.length > losses * 2 && alive.length < list.current.length;
	return shouldRemoveLost && alive.every(({diskId}) => reachable.has(diskId)) ? propose(list, alive, 'lost disks are removed, since enough others remain') : NONE;
};

const decidePendingChange = (view: HolderView, list: HolderList, next: readonly Holder[]): HolderChange => {
	const added = next.filter(holder => !includes(list.current, holder));
	if (added.some(({diskId}) => view.lost.has(diskId))) {
		return propose(list, undefined, 'the previous change is cancelled, since a disk that it adds is lost');
	}

	const isShrinking = list.current.some(holder => !includes(next, holder));
	return {kind: 'complete', copying: isShrinking ? next : added, list: {version: list.version + 1, current: next}};
};

/** Decides what the holder `view.self` should do now. */
export const decideHolderChange = (view: HolderView): HolderChange => {
	const {list, self, reachable, retiring} = view;
	if (!list) {
		return {kind: 'propose', list: {version: 1, current: [self]}, reason: 'no list of copy holders exists yet'};
	}

	const {current, next} = list;
	const isListed = includes(listAllHolders(list), self);
	if (!isListed) {
		const isJoinAllowed = !next && !retiring.has(self.host);
		return isJoinAllowed ? decideJoin(view, list) : NONE;
	}

	const leader = listAllHolders(list).map(({diskId}) => diskId).filter(diskId => reachable.has(diskId)).toSorted()[0];
	if (leader !== self.diskId || !reachesReadQuorum(current, reachable, view.losses)) {
		return NONE;
	}

	return next ? decidePendingChange(view, list, next) : decideRemoval(view, list);
};
