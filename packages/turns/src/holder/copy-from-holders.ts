/**
Copies the records of one replica group from its current holders to this host's
disk.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {CopyStore} from '../disk/copy-store.js';
import {askHolder} from '../membership/ask-holder.js';
import {fromWireList} from '../membership/from-wire-list.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {GroupId} from '../membership/group-id.js';
import type {Holder} from '../membership/holder.js';
import {askUntil} from './ask-until.js';

const PULL_TIMEOUT_MS = 1500;

type CopyOptions = {
	readonly store: CopyStore;
	readonly group: GroupId;
	/** Version of the list to copy under; nothing is copied if the store has another one. */
	readonly listVersion: number;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	readonly linkTo: (holder: Holder) => PeerLink;
};

const pullFromHolder = async ({store, group, listVersion, linkTo}: CopyOptions, holder: Holder): Promise<boolean> => {
	let offset = 0;
	let generation = 0;
	for (;;) {
		const answer = await askHolder(linkTo(holder), holder, {
			case: 'pullRecords', value: {
				group, listVersion, offset, generation,
			},
		}, PULL_TIMEOUT_MS);
		if (answer.isErr() || answer.value.case !== 'records') {
			return false;
		}

		const {records, nextOffset, done} = answer.value.value;
		({generation} = answer.value.value);
		const facts = records.map(({fact}) => fact).filter(fact => fact.case !== undefined && fact.case !== 'list');
		const stored = await Promise.all(facts.map(async fact => store.add(group, fact)));
		if (stored.some(result => result.isErr())) {
			return false;
		}

		if (done) {
			return true;
		}

		offset = nextOffset;
	}
};

/** Resolves to whether everything was copied from a read quorum of the current holders; this disk counts if it is one of them. */
export const copyFromHolders = async (options: CopyOptions): Promise<boolean> => {
	const {store, group, listVersion, losses, linkTo} = options;
	const list = fromWireList(store.getIndex(group).list());
	if (list?.version !== listVersion) {
		return false;
	}

	const {version, current} = list;
	const isEnough = (copied: ReadonlySet<string>): boolean => hasQuorum({version, current}, 'read', copied, losses);
	const reachable = current.filter(holder => holder.diskId === store.diskId || linkTo(holder).remote()?.dataFolderId === holder.diskId);
	const sources = isEnough(new Set(reachable.map(({diskId}) => diskId))) ? reachable : current;
	return askUntil(sources, async holder => holder.diskId === store.diskId || pullFromHolder(options, holder), isEnough);
};
