/**
Prefix cache of an engine stand-in: holds the token count of one prompt prefix
per cache group and evicts the least recently stored group that is not in use.
*/
import type {PrefixCache} from './prefix-cache.js';

/** A change that is published as a cache event. */
type CacheChange = {readonly type: 'stored' | 'removed'; readonly group: string; readonly tokens: number};

/** Creates an empty cache of `capacity` tokens. Groups for which `isInUse` returns true are not evicted, so the capacity can be exceeded. */
export const createPrefixCache = (
	capacity: number,
	isInUse: (group: string) => boolean,
	notify: (change: CacheChange) => void,
): PrefixCache => {
	// In insertion order; storing a group again moves it to the end, so the first group is the next to evict.
	const groups = new Map<string, number>();
	let total = 0;

	const remove = (group: string): boolean => {
		const tokens = groups.get(group);
		if (tokens === undefined) {
			return false;
		}

		groups.delete(group);
		total -= tokens;
		notify({type: 'removed', group, tokens});
		return true;
	};

	const evict = (keptGroup: string): void => {
		for (const group of groups.keys()) {
			if (total <= capacity) {
				return;
			}

			if (group !== keptGroup && !isInUse(group)) {
				remove(group);
			}
		}
	};

	return {
		get: group => groups.get(group) ?? 0,
		store(group, tokens) {
			total += tokens - (groups.get(group) ?? 0);
			groups.delete(group);
			groups.set(group, tokens);
			notify({type: 'stored', group, tokens});
			evict(group);
		},
		remove,
		list: () => Array.from(groups, ([group, tokens]) => ({group, tokens})),
		totalTokens: () => total,
	};
};
