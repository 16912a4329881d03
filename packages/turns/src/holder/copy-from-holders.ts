/**
Copies the records of the current holders to this host's disk.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {CopyStore} from '../disk/copy-store.js';
import {askHolder} from '../membership/ask-holder.js';
import {fromWireList} from '../membership/from-wire-list.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';

const PULL_TIMEOUT_MS = 1500;

type CopyOptions = {
	readonly store: CopyStore;
	/** Version of the list to copy under; nothing is copied if the store has another one. */
	readonly listVersion: number;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	readonly linkTo: (holder: Holder) => PeerLink;
};

const pullFromHolder = async ({store, listVersion, linkTo}: CopyOptions, holder: Holder): Promise<boolean> => {
	let offset = 0;
	let generation = 0;
	for (;;) {
		const answer = await askHolder(linkTo(holder), holder, {case: 'pullRecords', value: {listVersion, offset, generation}}, PULL_TIMEOUT_MS);
		if (answer.isErr() || answer.value.case !== 'records') {
			return false;
		}

		const {records, nextOffset, done} = answer.value.value;
		({generation} = answer.value.value);
		const facts = records.map(({fact}) => fact).filter(fact => fact.case !== undefined && fact.case !== 'list');
		const stored = await Promise.all(facts.map(async fact => store.add(fact)));
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
	const {store, listVersion, losses} = options;
	const list = fromWireList(store.index.list());
	if (list?.version !== listVersion) {
		return false;
	}

	const copied = new Set<string>();
	await Promise.all(list.current.map(async holder => {
		if (holder.diskId === store.diskId || await pullFromHolder(options, holder)) {
			copied.add(holder.diskId);
		}
	}));
	return hasQuorum({version: list.version, current: list.current}, 'read', copied, losses);
};
