/**
Completes a change of one replica group's list: has the holders adopt the joint
list and copy what they lack.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {CopyStore} from '../disk/copy-store.js';
import {askHolder} from '../membership/ask-holder.js';
import type {GroupId} from '../membership/group-id.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {toWireList} from '../membership/to-wire-list.js';
import {askUntil} from './ask-until.js';
import type {SyncCopy} from './sync-copy.js';

const ADOPT_TIMEOUT_MS = 600;
const SYNC_TIMEOUT_MS = 4000;

type CompleteOptions = {
	readonly self: Holder;
	readonly store: CopyStore;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	readonly syncCopy: SyncCopy;
};

type JointChange = {
	readonly group: GroupId;
	/** The joint list, with `next`. */
	readonly list: HolderList;
	/** Holders that must have everything before the next list takes effect. */
	readonly copying: readonly Holder[];
};

/** Resolves to whether a read quorum adopted the list and every holder in `copying` has copied what it lacks. */
export const completeGroupChange = async ({self, store, linkTo, losses, syncCopy}: CompleteOptions, {group, list, copying}: JointChange): Promise<boolean> => {
	const wireList = toWireList(list);
	const isAdopted = await askUntil(listAllHolders(list), async holder => {
		if (holder.diskId === self.diskId) {
			const stored = await store.add(group, {case: 'list', value: wireList});
			return stored.isOk();
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'adoptHolders', value: {group, list: wireList}}, ADOPT_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	}, adopted => hasQuorum({version: list.version, current: list.current}, 'read', adopted, losses));
	return isAdopted && askUntil(copying, async holder => {
		if (holder.diskId === self.diskId) {
			return syncCopy(group, list.version);
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'syncCopy', value: {group, listVersion: list.version}}, SYNC_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	}, copied => copied.size === copying.length);
};
