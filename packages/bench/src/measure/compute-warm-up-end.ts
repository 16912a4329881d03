/**
Computes the end of the warm-up, which most metrics leave out.
*/
import type {RunOptions} from '../plan/run-options.js';

/** Share of the window. */
const WARM_UP_SHARE = 0.1;

/** Returns the end of the warm-up, in virtual milliseconds. */
export const computeWarmUpEnd = ({windowMs}: Pick<RunOptions, 'windowMs'>): number => windowMs * WARM_UP_SHARE;
