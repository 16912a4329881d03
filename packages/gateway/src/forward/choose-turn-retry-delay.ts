/**
Chooses the retry delay for a turn that was refused because too few copy holders
could be reached.

Expected load: the only gateway process of a data centre loses its connection to
the holders. Until the load balancer has removed it, a caller that retries at
once reaches it again and wastes one of its few attempts. After that, new
connections go to another process at once, and only callers with a kept-alive
connection still reach this one.
*/
import {LEAVE_ROTATION_MS} from '../host/leave-rotation-ms.js';

/** Callers wait no longer than a third of their remaining time. */
const MAX_RETRY_AFTER_MS = 1000;
const RETRY_OTHER_PROCESS_MS = 100;
/** Holders that are busy or restarting answer again after a few hundred milliseconds. */
const RETRY_SAME_PROCESS_MS = 300;

/** `cutOffForMs` is the time since this process lost the holders, or 0 if it may reach them. Returns milliseconds. */
export const chooseTurnRetryDelay = (cutOffForMs: number): number =>
	cutOffForMs > 0 ? Math.min(MAX_RETRY_AFTER_MS, Math.max(RETRY_OTHER_PROCESS_MS, LEAVE_ROTATION_MS - cutOffForMs)) : RETRY_SAME_PROCESS_MS;
