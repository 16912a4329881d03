/**
Stores the registered disks and the lists of the replica groups under keys of the
platform's service.
*/
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {HolderRegistry} from '@siskinhub/turns/holder/holder-registry.js';
import type {GroupId} from '@siskinhub/turns/membership/group-id.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {HolderList} from '@siskinhub/turns/membership/holder-list.js';
import {listGroups} from '@siskinhub/turns/membership/list-groups.js';
import {parseHolder} from '@siskinhub/turns/membership/parse-holder.js';
import {parseHolderList} from '@siskinhub/turns/membership/parse-holder-list.js';
import type {DeclaredKeys} from './declared-keys.js';

type RegistryOptions = {
	readonly view: DeclaredView;
	readonly store: DeclarationStore;
	readonly keys: Pick<DeclaredKeys, 'groups' | 'disks'>;
};

/** Reads come from this process's copy of the declared state, parsed once for each change; writes are compare-and-swaps on the keys' revisions. Create it before the view's first change. */
export const createHolderRegistry = ({view, store, keys}: RegistryOptions): HolderRegistry => {
	const groupsByKey = new Map(listGroups().map(group => [`${keys.groups}${group}`, group]));
	const lists = new Map<GroupId, HolderList>();
	const disks = new Map<string, Holder>();

	view.onChange(({key, value}) => {
		const group = groupsByKey.get(key);
		if (group !== undefined) {
			const list = value === undefined ? undefined : parseHolderList(value).unwrapOr(undefined);
			if (list) {
				lists.set(group, list);
			} else {
				lists.delete(group);
			}
		} else if (key.startsWith(keys.disks)) {
			const holder = value === undefined ? undefined : parseHolder(value).unwrapOr(undefined);
			if (holder) {
				disks.set(key, holder);
			} else {
				disks.delete(key);
			}
		}
	});

	const commit = async (changes: Parameters<DeclarationStore['commit']>[0]): Promise<boolean> => {
		const entries = await store.commit(changes);
		if (!entries) {
			return false;
		}

		view.apply({entries, revision: 0, isWhole: false});
		return true;
	};

	const readRevision = (key: string): number => {
		const held = view.get(key);
		return held?.value === undefined ? 0 : held.revision;
	};

	const getDiskKey = ({diskId}: Holder): string => `${keys.disks}${diskId}`;

	return {
		isLoaded: () => view.revision() > 0,
		readList: group => lists.get(group),
		listDisks: () => [...disks.values()],
		swap: async proposals => commit(proposals.map(({group, list}) => {
			const key = `${keys.groups}${group}`;
			return {key, value: JSON.stringify(list), expectedRevision: readRevision(key)};
		})),
		register: async holder => commit([{key: getDiskKey(holder), value: JSON.stringify(holder)}]),
		async forget(holder) {
			const key = getDiskKey(holder);
			await commit([{key, expectedRevision: readRevision(key)}]);
		},
	};
};
