/**
Builds the schema of the metrics settings.
*/
import * as z from 'zod';
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildIntegerSchema} from './build-integer-schema.js';
import {buildIpSchema} from './build-ip-schema.js';
import {buildSectionSchema} from './build-section-schema.js';

const PREFIX_ERROR = 'a text of up to 64 letters, digits, dots and underscores';

/** Where metrics are sent; without the section none are sent. */
export const buildMetricsSchema = () => buildSectionSchema({
	statsd: buildSectionSchema({
		ip: buildIpSchema().describe('IP address of the StatsD server'),
		port: buildIntegerSchema(1, SETTING_BOUNDS.port).default(SETTING_DEFAULTS.statsdPort)
			.describe('UDP port of the StatsD server'),
	}).describe('The StatsD server that receives the metrics'),
	prefix: z.string({error: PREFIX_ERROR}).regex(/^[\w.]{0,64}$/v, {error: PREFIX_ERROR})
		.default(SETTING_DEFAULTS.metricsPrefix).describe('Prefix of the name of each metric'),
}).optional().describe('Metrics; none are sent if the section is absent');
