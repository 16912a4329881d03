/**
Keeps one disk among the holders: joins it, replaces lost ones, empties hosts.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CopyStore} from '../disk/copy-store.js';
import {askHolder} from '../holders/ask-holder.js';
import {decideHolderChange} from '../holders/decide-holder-change.js';
import {fromWireList} from '../holders/from-wire-list.js';
import {hasQuorum} from '../holders/has-quorum.js';
import type {Holder} from '../holders/holder.js';
import type {HolderList} from '../holders/holder-list.js';
import {listAllHolders} from '../holders/list-all-holders.js';
import {toWireList} from '../holders/to-wire-list.js';
import type {HolderRegistry} from './holder-registry.js';

const STEP_INTERVAL_MS = 200;
const ADOPT_TIMEOUT_MS = 600;
const SYNC_TIMEOUT_MS = 4000;

type HolderOptions = {
	readonly self: Holder;
	readonly store: CopyStore;
	readonly registry: HolderRegistry;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Hosts that operators want emptied. */
	readonly listRetiring: () => ReadonlySet<string>;
	/** Called with each host that holds nothing any more. */
	readonly onEmptied: (host: string) => void;
	/** Disks that may be lost at once. */
	readonly losses: number;
	/** Milliseconds without an answer after which a holder is given up. */
	readonly lostAfterMs: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** Follows the other holders' links: who answers now, and who has not for long. */
const createReachability = ({self, linkTo, lostAfterMs}: HolderOptions) => {
	const lastSeenAt = new Map<string, number>();
	return (list: HolderList | undefined) => {
		const now = Date.now();
		const reachable = new Set([self.diskId]);
		const lost = new Set<string>();
		for (const holder of list ? listAllHolders(list) : []) {
			const {diskId} = holder;
			const link = diskId === self.diskId ? undefined : linkTo(holder);
			if (diskId === self.diskId || link?.remote()?.dataFolderId === diskId) {
				lastSeenAt.set(diskId, now);
				reachable.add(diskId);
			} else if (!lastSeenAt.has(diskId)) {
				lastSeenAt.set(diskId, now);
			} else if (now - lastSeenAt.get(diskId)! > lostAfterMs || (link?.remote()?.dataFolderId ?? diskId) !== diskId) {
				lost.add(diskId);
			}
		}

		return {reachable, lost};
	};
};

const askAll = async (holders: readonly Holder[], ask: (holder: Holder) => Promise<boolean>): Promise<Set<string>> => {
	const agreed = new Set<string>();
	await Promise.all(holders.map(async holder => {
		if (await ask(holder)) {
			agreed.add(holder.diskId);
		}
	}));
	return agreed;
};

type Completion = (list: HolderList, copying: readonly Holder[]) => Promise<boolean>;

const createCompletion = ({self, store, linkTo, losses}: HolderOptions, syncSelf: (listVersion: number) => Promise<boolean>): Completion => async (list, copying) => {
	const wire = toWireList(list);
	const adopted = await askAll(listAllHolders(list), async holder => {
		if (holder.diskId === self.diskId) {
			const stored = await store.add({case: 'list', value: wire});
			return stored.isOk();
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'adoptHolders', value: {list: wire}}, ADOPT_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	});
	if (!hasQuorum({version: list.version, current: list.current}, 'read', adopted, losses)) {
		return false;
	}

	const copied = await askAll(copying, async holder => {
		if (holder.diskId === self.diskId) {
			return syncSelf(list.version);
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'syncCopy', value: {listVersion: list.version}}, SYNC_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	});
	return copied.size === copying.length;
};

/** Acts until the signal aborts. */
export const runHolder = async (options: HolderOptions, syncSelf: (listVersion: number) => Promise<boolean>): Promise<void> => {
	const {self, store, registry, listRetiring, onEmptied, losses, log, signal} = options;
	const readReachability = createReachability(options);
	const complete = createCompletion(options, syncSelf);

	const step = async (): Promise<void> => {
		if (!registry.isKnown()) {
			return;
		}

		const list = registry.read();
		if (list && list.version > (fromWireList(store.index.list())?.version ?? 0)) {
			await store.add({case: 'list', value: toWireList(list)});
		}

		for (const host of listRetiring()) {
			if (list && listAllHolders(list).every(holder => holder.host !== host)) {
				onEmptied(host);
			}
		}

		const change = decideHolderChange({
			list, self, ...readReachability(list), retiring: listRetiring(), losses,
		});
		if (change.kind === 'none') {
			return;
		}

		if (change.kind === 'propose') {
			const isTaken = await registry.swap(change.list);
			log.info('proposed a list of copy holders', {version: change.list.version, reason: change.reason, isTaken});
			return;
		}

		if (await complete(list!, change.copying)) {
			const isTaken = await registry.swap(change.list);
			log.info('completed a list of copy holders', {version: change.list.version, holders: change.list.current.map(({host}) => host), isTaken});
		}
	};

	while (!signal.aborted) {
		await step();
		await waitUnlessAborted(STEP_INTERVAL_MS, signal);
	}
};
