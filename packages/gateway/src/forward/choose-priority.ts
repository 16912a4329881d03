/**
Chooses the priority with which an engine begins a call.

Expected load: a burst makes programs late, and each of their turns is followed by
the next, so the engines stay full after it. Programs that can still end in time go
before those that cannot, else all of them are late in turn.
*/
import type {CallHead} from '../call/call-head.js';
import {isLate} from '../call/is-late.js';
import type {Route} from '../routes/route.js';

const DEFAULT_PRIORITY = 4;
const LEAST_URGENT_PRIORITY = 9;
/** More than the ranks of routes differ, so that a late call of an urgent route waits for those of the others. */
const LATE_STEP = 3;

/** Returns 0 for the most urgent to 9; `undefined` for calls without a prompt. */
export const choosePriority = (call: Pick<CallHead, 'prompt' | 'program'>, {rank}: Pick<Route, 'rank'>): number | undefined =>
	call.prompt && Math.min(LEAST_URGENT_PRIORITY, DEFAULT_PRIORITY + rank + (isLate(call) ? LATE_STEP : 0));
