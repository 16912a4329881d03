/**
Builds the schema of the log.
*/
import * as z from 'zod';
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildSection} from './build-section.js';

const LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;

/** The log's level. */
export const buildLog = () => buildSection({
	level: z.enum(LEVELS, {error: `one of ${LEVELS.join(', ')}`}).default(SETTING_DEFAULTS.logLevel)
		.describe('Lowest level that is written; the log goes to standard error, one JSON object a line'),
}).prefault({}).describe('The log');
