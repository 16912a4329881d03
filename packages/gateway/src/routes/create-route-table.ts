/**
Creates the table of the declared routes in force.
*/
import type {DeclaredRoutes} from './declared-routes.js';
import {findRoute} from './find-route.js';
import {indexRoutes} from './index-routes.js';
import type {RouteTable} from './route-table.js';

/** The table has no routes until the first `replace`. */
export const createRouteTable = (): RouteTable => {
	let current: DeclaredRoutes | undefined;
	let index = indexRoutes([]);
	const waiters = new Set<() => void>();
	return {
		replace(next) {
			if (current && next.version <= current.version) {
				return false;
			}

			current = next;
			index = indexRoutes(next.routes);
			for (const resolveWaiter of waiters) {
				resolveWaiter();
			}

			return true;
		},
		current: () => current,
		waitForFirst: async timeoutMs => current
			? undefined
			: new Promise(resolve => {
				const resolveWaiter = (): void => {
					waiters.delete(resolveWaiter);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(resolveWaiter, timeoutMs);
				waiters.add(resolveWaiter);
			}),
		match: (host, path) => findRoute(index, host.toLowerCase(), path),
	};
};
