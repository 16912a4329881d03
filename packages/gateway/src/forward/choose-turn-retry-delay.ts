/**
Chooses when a caller may come back whose turn was refused for want of copy
holders.

Pattern of load: the only process of a data centre loses its way to the holders.
Until the balancer has taken it out, whoever comes back at once meets it again
and spends one of few attempts; after that new connections reach another process
at once, and only callers that kept a connection still come here.
*/
import {LEAVE_ROTATION_MS} from '../host/leave-rotation-ms.js';

/** Callers wait no longer than a third of the time that they have left. */
const MAX_RETRY_AFTER_MS = 1000;
const RETRY_OTHER_PROCESS_MS = 100;
/** Holders that are busy or restart answer again after some hundred milliseconds. */
const RETRY_SAME_PROCESS_MS = 300;

/** `cutOffForMs` is 0 where the process may reach the holders. The result is in milliseconds. */
export const chooseTurnRetryDelay = (cutOffForMs: number): number =>
	cutOffForMs > 0 ? Math.min(MAX_RETRY_AFTER_MS, Math.max(RETRY_OTHER_PROCESS_MS, LEAVE_ROTATION_MS - cutOffForMs)) : RETRY_SAME_PROCESS_MS;
