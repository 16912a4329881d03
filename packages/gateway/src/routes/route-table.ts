/**
The routes in force in this process.
*/
import type {DeclaredRoutes} from './declared-routes.js';
import type {Route} from './route.js';

/** Changes only from one complete revision to a later one. */
export type RouteTable = {
	/** Replaces the revision in force if `next` is newer, and returns whether it is. */
	readonly replace: (next: DeclaredRoutes) => boolean;
	readonly current: () => DeclaredRoutes | undefined;
	/** Resolves once routes are in force, at the latest after `timeoutMs`. */
	readonly waitForFirst: (timeoutMs: number) => Promise<void>;
	readonly match: (host: string, path: string) => Route | undefined;
};
