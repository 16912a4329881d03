/**
Builds the schema of a duration.
*/
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildInteger} from './build-integer.js';

/** A duration in whole milliseconds, at least `min` and at most a day. */
export const buildDuration = (min = 1) => buildInteger(min, SETTING_BOUNDS.durationMs);
