/**
The stand-in engine's limited memory of prompt prefixes, one per cache group,
evicted by least recent use; groups that are in use stay.
*/
import type {PrefixCache} from './prefix-cache.js';

/** A change that is reported as a cache event. */
type CacheChange = {readonly type: 'stored' | 'removed'; readonly group: string; readonly tokens: number};

/** Creates an empty cache of `capacity` tokens. `isInUse` protects a group from eviction. */
export const createPrefixCache = (
	capacity: number,
	isInUse: (group: string) => boolean,
	notify: (change: CacheChange) => void,
): PrefixCache => {
	// A Map keeps insertion order; storing again moves a group to the end.
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

	const evict = (kept: string): void => {
		for (const group of groups.keys()) {
			if (total <= capacity) {
				return;
			}

			if (group !== kept && !isInUse(group)) {
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
