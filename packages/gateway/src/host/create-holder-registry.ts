/**
Stores the list of copy holders under one key of the platform's service.
*/
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {HolderRegistry} from '@siskinhub/turns/holder/holder-registry.js';
import type {HolderList} from '@siskinhub/turns/membership/holder-list.js';
import {parseHolderList} from '@siskinhub/turns/membership/parse-holder-list.js';

/** Reads come from this process's copy of the declared state; writes are a compare-and-swap on the key's revision. */
export const createHolderRegistry = (view: DeclaredView, store: DeclarationStore, key: string): HolderRegistry => {
	let cached: {readonly text: string; readonly list: HolderList | undefined} | undefined;
	return {
		isLoaded: () => view.revision() > 0,
		read() {
			const text = view.get(key)?.value;
			if (text === undefined) {
				return undefined;
			}

			if (cached?.text !== text) {
				cached = {text, list: parseHolderList(text).unwrapOr(undefined)};
			}

			return cached.list;
		},
		async swap(list) {
			const held = view.get(key);
			const written = await store.write(key, JSON.stringify(list), held?.value === undefined ? 0 : held.revision);
			if (!written) {
				return false;
			}

			view.apply({entries: [written], revision: 0, isWhole: false});
			return true;
		},
	};
};
