/**
One complete revision of the declared routes.
*/
import type {Workspace} from '../workspaces/workspace.js';
import type {Route} from './route.js';
import type {Service} from './service.js';

/** Limits on requests and connections of callers. */
type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Milliseconds in which the head of a request must arrive. */
	readonly headerTimeoutMs: number;
	/** Milliseconds that a connection may stay idle. */
	readonly idleTimeoutMs: number;
};

/** Takes effect as a whole. */
export type DeclaredRoutes = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Absent if the deployment tells no workspaces apart; callers then need no key. */
	readonly workspaces?: readonly Workspace[];
};
