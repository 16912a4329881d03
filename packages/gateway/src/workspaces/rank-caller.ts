/**
Ranks a call for admission and for what is shed.

Load pattern: a burst of one workspace while another, more urgent one sends what it
always does. The workspace's rank goes before that of the route, which tells only the
calls of equal workspaces apart.
*/
import type {Route} from '../routes/route.js';
import type {Workspace} from './workspace.js';

/** Ranks of routes beyond this are treated alike. */
const LEAST_URGENT_ROUTE_RANK = 2;
/** Below one step between workspaces, also for the least urgent route. */
const ROUTE_SHARE = 1 / (LEAST_URGENT_ROUTE_RANK + 1);

/** 0 is the most urgent. Without a workspace the rank is that of the route. */
export const rankCaller = (workspace: Pick<Workspace, 'rank'> | undefined, {rank}: Pick<Route, 'rank'>): number =>
	workspace ? workspace.rank + (ROUTE_SHARE * Math.min(rank, LEAST_URGENT_ROUTE_RANK)) : rank;
