/**
Chooses the priority with which an engine begins a call.

Expected load: a burst makes programs late, and each of their turns is followed by
the next, so the engines stay full after it. Programs that can still end in time go
before those that cannot, else all of them are late in turn. Where there are
workspaces, one that is more urgent sends while another bursts: its calls go before
all of the other, and the ranks of routes tell only the calls of one workspace apart.
*/
import type {CallHead} from '../call/call-head.js';
import {isLate} from '../call/is-late.js';
import type {Route} from '../routes/route.js';
import type {Workspace} from '../workspaces/workspace.js';

const DEFAULT_PRIORITY = 4;
const LEAST_URGENT_PRIORITY = 9;
/** More than the ranks of routes differ, so that a late call of an urgent route waits for those of the others. */
const LATE_STEP = 3;
/** Ranks beyond this are treated alike where workspaces go before routes, so that there is a priority for each pair. */
const LEAST_URGENT_RANK = 2;

const clampRank = (rank: number): number => Math.max(0, Math.min(LEAST_URGENT_RANK, rank));

/** Before every late call, whichever workspace is more urgent. */
const rankInWorkspace = (workspaceRank: number, routeRank: number): number => ((LEAST_URGENT_RANK + 1) * clampRank(workspaceRank)) + clampRank(routeRank);

/** Returns 0 for the most urgent to 9; `undefined` for calls without a prompt. */
export const choosePriority = (call: Pick<CallHead, 'prompt' | 'program'>, {rank}: Pick<Route, 'rank'>, workspace?: Pick<Workspace, 'rank'>): number | undefined => {
	if (!call.prompt) {
		return undefined;
	}

	if (workspace) {
		return isLate(call) ? LEAST_URGENT_PRIORITY : rankInWorkspace(workspace.rank, rank);
	}

	return Math.min(LEAST_URGENT_PRIORITY, DEFAULT_PRIORITY + rank + (isLate(call) ? LATE_STEP : 0));
};
