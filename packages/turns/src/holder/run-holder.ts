/**
Maintains the registration of one disk and its copies of the replica groups'
lists, and plans changes of the groups while this holder is the planner.
*/
import {waitUnlessAborted} from '@siskinhub/core/time/wait-unless-aborted.js';
import type {GroupId} from '../membership/group-id.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import {listGroups} from '../membership/list-groups.js';
import {toWireList} from '../membership/to-wire-list.js';
import {createGroupPlanner} from './create-group-planner.js';
import type {HolderOptions} from './holder-options.js';
import type {HolderRegistry} from './holder-registry.js';

const RECONCILE_INTERVAL_MS = 200;
/** Interval between attempts to register while the platform's service does not answer; each one is a counted call. */
const REGISTER_INTERVAL_MS = 1000;

/** Registers this disk, and again if its registration is missing. */
const createRegistrar = ({registry, self, log}: HolderOptions) => {
	let triedAt = -Infinity;
	return async (): Promise<void> => {
		const registered = registry.listDisks().find(({diskId}) => diskId === self.diskId);
		const isCurrent = registered?.address === self.address && registered.host === self.host;
		if (isCurrent || performance.now() - triedAt < REGISTER_INTERVAL_MS) {
			return;
		}

		triedAt = performance.now();
		const isWritten = await registry.register(self);
		log.info('disk registered', {diskId: self.diskId, isWritten});
	};
};

const readLists = (registry: HolderRegistry): Map<GroupId, HolderList> => {
	const lists = new Map<GroupId, HolderList>();
	for (const group of listGroups()) {
		const list = registry.readList(group);
		if (list) {
			lists.set(group, list);
		}
	}

	return lists;
};

/** Adopts the declared lists of the groups in which this disk is or was. */
const adoptLists = async ({store, self}: HolderOptions, lists: ReadonlyMap<GroupId, HolderList>): Promise<void> => {
	await Promise.all([...lists].map(async ([group, list]) => {
		const held = store.getIndex(group).list()?.version ?? 0;
		const isConcerned = held > 0 || listAllHolders(list).some(({diskId}) => diskId === self.diskId);
		if (isConcerned && list.version > held) {
			await store.add(group, {case: 'list', value: toWireList(list)});
		}
	}));
};

/** Runs until the signal aborts. */
export const runHolder = async (options: HolderOptions): Promise<void> => {
	const {registry, log, signal} = options;
	const register = createRegistrar(options);
	const planner = createGroupPlanner(options);

	const reconcile = async (): Promise<void> => {
		if (!registry.isLoaded()) {
			return;
		}

		await register();
		const lists = readLists(registry);
		await adoptLists(options, lists);
		await planner.plan(lists);
	};

	while (!signal.aborted) {
		try {
			await reconcile();
		} catch (error) {
			log.error('failed to maintain the replica groups; trying again', {reason: String(error)});
		}

		await waitUnlessAborted(RECONCILE_INTERVAL_MS, signal);
	}
};
