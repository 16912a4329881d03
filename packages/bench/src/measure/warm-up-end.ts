/**
When figures begin to count.
*/
import type {RunOptions} from '../plan/run-options.js';

const WARM_UP = 0.1;

/** Returns the end of the warm-up, in virtual milliseconds. */
export const warmUpEnd = ({windowMs}: Pick<RunOptions, 'windowMs'>): number => windowMs * WARM_UP;
