/**
Reads how long calls of a route have recently waited at its engines.
*/
import type {CallHead} from '../call/call-head.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Route} from '../routes/route.js';

/** Returns milliseconds; 0 for calls without a prompt, whose upstreams say nothing by the time that they take. */
export const readEngineWait = ({prompt}: Pick<CallHead, 'prompt'>, route: Pick<Route, 'targets'> | undefined, meanWaitMs: LoadTracker['meanWaitMs']): number =>
	prompt && route ? Math.max(0, ...route.targets.map(({service}) => meanWaitMs(service))) : 0;
