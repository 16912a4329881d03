/**
Builds the schema of a duration.
*/
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildIntegerSchema} from './build-integer-schema.js';

/** A duration in whole milliseconds, at least `min` and at most a day. */
export const buildDurationSchema = (min = 1) => buildIntegerSchema(min, SETTING_BOUNDS.durationMs);
