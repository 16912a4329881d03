/**
Holds the declared routes that are in force.
*/
import type {DeclaredRoutes} from './declared-routes.js';
import {findRoute} from './find-route.js';
import {indexRoutes} from './index-routes.js';
import type {RouteTable} from './route-table.js';

/** Creates a table without routes. */
export const createRouteTable = (): RouteTable => {
	let current: DeclaredRoutes | undefined;
	let index = indexRoutes([]);
	const waiting = new Set<() => void>();
	return {
		replace(next) {
			if (current && next.version <= current.version) {
				return false;
			}

			current = next;
			index = indexRoutes(next.routes);
			for (const release of waiting) {
				release();
			}

			return true;
		},
		current: () => current,
		waitForFirst: async timeoutMs => current
			? undefined
			: new Promise(resolve => {
				const release = (): void => {
					waiting.delete(release);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(release, timeoutMs);
				waiting.add(release);
			}),
		match: (host, path) => findRoute(index, host.toLowerCase(), path),
	};
};
