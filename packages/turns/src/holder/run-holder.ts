/**
Maintains the list of holders from the view of one disk: it decides periodically
whether a change is due (its own join, replacing or removing a lost disk, moving
copies off a retiring host) and carries it out.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CopyStore} from '../disk/copy-store.js';
import {askHolder} from '../membership/ask-holder.js';
import {decideHolderChange} from '../membership/decide-holder-change.js';
import {fromWireList} from '../membership/from-wire-list.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {toWireList} from '../membership/to-wire-list.js';
import type {HolderRegistry} from './holder-registry.js';

const RECONCILE_INTERVAL_MS = 200;
const ADOPT_TIMEOUT_MS = 600;
const SYNC_TIMEOUT_MS = 4000;

type HolderOptions = {
	readonly self: Holder;
	readonly store: CopyStore;
	readonly registry: HolderRegistry;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Returns the hosts that operators are retiring. */
	readonly listRetiring: () => ReadonlySet<string>;
	/** Called repeatedly with each retiring host that is no longer in the list, so that its copies are no longer needed. */
	readonly onEmptied: (host: string) => void;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds without an open link after which a holder counts as lost. */
	readonly lostAfterMs: number;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** Returns a function that tells from the links which holders are reachable now and which are lost. */
const createReachabilityTracker = ({self, linkTo, lostAfterMs}: HolderOptions) => {
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

/** Returns the disk ids of the holders for which `ask` resolves to `true`. */
const askAll = async (holders: readonly Holder[], ask: (holder: Holder) => Promise<boolean>): Promise<Set<string>> => {
	const agreed = new Set<string>();
	await Promise.all(holders.map(async holder => {
		if (await ask(holder)) {
			agreed.add(holder.diskId);
		}
	}));
	return agreed;
};

/** Resolves to whether a read quorum adopted the list and every holder in `copying` has copied what it lacks. */
type CompleteChange = (list: HolderList, copying: readonly Holder[]) => Promise<boolean>;

const createChangeCompleter = ({self, store, linkTo, losses}: HolderOptions, syncCopy: (listVersion: number) => Promise<boolean>): CompleteChange => async (list, copying) => {
	const wireList = toWireList(list);
	const adopted = await askAll(listAllHolders(list), async holder => {
		if (holder.diskId === self.diskId) {
			const stored = await store.add({case: 'list', value: wireList});
			return stored.isOk();
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'adoptHolders', value: {list: wireList}}, ADOPT_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	});
	if (!hasQuorum({version: list.version, current: list.current}, 'read', adopted, losses)) {
		return false;
	}

	const copied = await askAll(copying, async holder => {
		if (holder.diskId === self.diskId) {
			return syncCopy(list.version);
		}

		const answer = await askHolder(linkTo(holder), holder, {case: 'syncCopy', value: {listVersion: list.version}}, SYNC_TIMEOUT_MS);
		return answer.isOk() && answer.value.case === 'acknowledged';
	});
	return copied.size === copying.length;
};

/** Runs until the signal aborts. `syncCopy` copies what the current holders have to this disk and resolves to whether all of it is there. */
export const runHolder = async (options: HolderOptions, syncCopy: (listVersion: number) => Promise<boolean>): Promise<void> => {
	const {self, store, registry, listRetiring, onEmptied, losses, log, signal} = options;
	const readReachability = createReachabilityTracker(options);
	const completeChange = createChangeCompleter(options, syncCopy);

	const reconcile = async (): Promise<void> => {
		if (!registry.isLoaded()) {
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
			log.info('change of copy holders proposed', {version: change.list.version, reason: change.reason, isTaken});
			return;
		}

		if (await completeChange(list!, change.copying)) {
			const isTaken = await registry.swap(change.list);
			log.info('change of copy holders completed', {version: change.list.version, holders: change.list.current.map(({host}) => host), isTaken});
		}
	};

	while (!signal.aborted) {
		await reconcile();
		await waitUnlessAborted(RECONCILE_INTERVAL_MS, signal);
	}
};
