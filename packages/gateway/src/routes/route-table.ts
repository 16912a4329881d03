/**
The routes in force in this process.
*/
import type {DeclaredRoutes} from './declared-routes.js';
import type {Route} from './route.js';

/** Goes from one whole revision to a later one and never back. */
export type RouteTable = {
	/** Whether the revision is newer than the one in force, which it then replaces. */
	readonly replace: (next: DeclaredRoutes) => boolean;
	readonly current: () => DeclaredRoutes | undefined;
	/** Resolves once any routes are in force, or after `timeoutMs` without them. */
	readonly waitForFirst: (timeoutMs: number) => Promise<void>;
	readonly match: (host: string, path: string) => Route | undefined;
};
