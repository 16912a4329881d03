/**
Builds the schema of the metrics.
*/
import * as z from 'zod';
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildInteger} from './build-integer.js';
import {buildIp} from './build-ip.js';
import {buildSection} from './build-section.js';

const PREFIX_ERROR = 'a text of up to 64 letters, digits, dots and underscores';

/** Where metrics go; without the section none are sent. */
export const buildMetrics = () => buildSection({
	statsd: buildSection({
		ip: buildIp().describe('IP number of the StatsD server'),
		port: buildInteger(1, SETTING_BOUNDS.port).default(SETTING_DEFAULTS.statsdPort)
			.describe('UDP port of the StatsD server'),
	}).describe('The StatsD server that receives the metrics'),
	prefix: z.string({error: PREFIX_ERROR}).regex(/^[\w.]{0,64}$/v, {error: PREFIX_ERROR})
		.default(SETTING_DEFAULTS.metricsPrefix).describe('Text before the name of each metric'),
}).optional().describe('Metrics; none are sent if the section is absent');
