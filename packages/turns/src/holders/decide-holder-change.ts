/**
Decides how the list of holders changes: who joins, who is replaced, who is
removed because it is gone or about to be emptied.

Every change goes through a list with `next`: old and new holders must both
agree until the new ones have copied what the old ones have. Only a holder that
reaches a read quorum of the current list decides, so that a host that is cut
off removes nobody; of those the first by disk id does the work.
*/
import {countQuorum} from './count-quorum.js';
import type {Holder} from './holder.js';
import type {HolderList} from './holder-list.js';
import {listAllHolders} from './list-all-holders.js';

/** What one holder sees. */
type HolderView = {
	readonly list: HolderList | undefined;
	readonly self: Holder;
	/** Disk ids of the holders whose links are open, its own too. */
	readonly reachable: ReadonlySet<string>;
	/** Disk ids of the holders that could not be reached for so long that they are given up. */
	readonly lost: ReadonlySet<string>;
	/** Hosts that operators want emptied. */
	readonly retiring: ReadonlySet<string>;
	/** Disks that may be lost at once. */
	readonly losses: number;
};

/** `propose` swaps the list; `complete` copies what `copying` lacks and then makes `next` the current list. */
type HolderChange =
	| {readonly kind: 'none'}
	| {readonly kind: 'propose'; readonly list: HolderList; readonly reason: string}
	| {readonly kind: 'complete'; readonly copying: readonly Holder[]; readonly list: HolderList};

const NONE: HolderChange = {kind: 'none'};

/** A change takes effect only through holders that together met every write. */
const reachesReadQuorum = (holders: readonly Holder[], reachable: ReadonlySet<string>, losses: number): boolean =>
	holders.filter(({diskId}) => reachable.has(diskId)).length >= countQuorum(holders.length, losses).read;

const includes = (holders: readonly Holder[], {diskId}: Holder): boolean => holders.some(holder => holder.diskId === diskId);

const propose = ({version, current}: HolderList, next: readonly Holder[] | undefined, reason: string): HolderChange => ({
	kind: 'propose', list: {version: version + 1, current, ...(next && {next})}, reason,
});

const decideJoin = ({self, reachable, lost, losses}: HolderView, list: HolderList): HolderChange => {
	// The disk that this host had before is gone for certain; a holder that does not answer is replaced once there are enough others.
	const others = list.current.filter(({host}) => host !== self.host);
	const alive = others.filter(({diskId}) => !lost.has(diskId));
	const next = [...(alive.length + 1 > losses ? alive : others), self];
	return reachesReadQuorum(list.current, reachable, losses) ? propose(list, next, 'a disk joins') : NONE;
};

const decideRemoval = ({lost, retiring, reachable, losses}: HolderView, list: HolderList): HolderChange => {
	const staying = list.current.filter(({host}) => !retiring.has(host));
	if (staying.length < list.current.length) {
		return staying.length > losses && staying.every(({diskId}) => reachable.has(diskId)) ? propose(list, staying, 'a host is to be emptied') : NONE;
	}

	const alive = list.current.filter(({diskId}) => !lost.has(diskId));
	const isPlenty = alive.length > losses * 2 && alive.length < list.current.length;
	return isPlenty && alive.every(({diskId}) => reachable.has(diskId)) ? propose(list, alive, 'a disk is gone and enough others are there') : NONE;
};

const decideNext = (view: HolderView, list: HolderList, next: readonly Holder[]): HolderChange => {
	const added = next.filter(holder => !includes(list.current, holder));
	if (added.some(({diskId}) => view.lost.has(diskId))) {
		return propose(list, undefined, 'a joining disk is gone again');
	}

	const isShrinking = list.current.some(holder => !includes(next, holder));
	return {kind: 'complete', copying: isShrinking ? next : added, list: {version: list.version + 1, current: next}};
};

/** Decides for one holder what it should do now. */
export const decideHolderChange = (view: HolderView): HolderChange => {
	const {list, self, reachable, retiring} = view;
	if (!list) {
		return {kind: 'propose', list: {version: 1, current: [self]}, reason: 'there is no list yet'};
	}

	const {current, next} = list;
	const isListed = includes(listAllHolders(list), self);
	if (!isListed) {
		const mayJoin = !next && !retiring.has(self.host);
		return mayJoin ? decideJoin(view, list) : NONE;
	}

	const leader = listAllHolders(list).map(({diskId}) => diskId).filter(diskId => reachable.has(diskId)).toSorted()[0];
	if (leader !== self.diskId || !reachesReadQuorum(current, reachable, view.losses)) {
		return NONE;
	}

	return next ? decideNext(view, list, next) : decideRemoval(view, list);
};
