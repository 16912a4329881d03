/**
Indexes routes by host for `findRoute`.
*/
import type {Route} from './route.js';

/** Hosts are in lower case; each host's routes have the longest prefix first. */
export const indexRoutes = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
	const index = new Map<string, Route[]>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		index.set(host, [...index.get(host) ?? [], route]);
	}

	for (const list of index.values()) {
		list.sort((a, b) => b.prefix.length - a.prefix.length);
	}

	return index;
};
