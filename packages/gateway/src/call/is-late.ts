/**
Tells the calls of programs that can no longer end in time.
*/
import type {CallHead} from './call-head.js';

/** `false` if the caller does not say when its program should be finished. */
export const isLate = ({program}: Pick<CallHead, 'program'>): boolean => program?.finishInMs !== undefined && program.finishInMs <= 0;
