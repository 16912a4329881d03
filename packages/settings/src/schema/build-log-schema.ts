/**
Builds the schema of the log settings.
*/
import * as z from 'zod';
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildSectionSchema} from './build-section-schema.js';

const LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;

/** The level of the log. */
export const buildLogSchema = () => buildSectionSchema({
	level: z.enum(LEVELS, {error: `one of ${LEVELS.join(', ')}`}).default(SETTING_DEFAULTS.logLevel)
		.describe('Lowest level that is logged; the log goes to standard error, with one JSON object per line'),
}).prefault({}).describe('The log');
