/**
Builds the schema of the heartbeats between processes of the system.
*/
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildDurationSchema} from './build-duration-schema.js';
import {buildSectionSchema} from './build-section-schema.js';

/** Interval and timeout of heartbeats; the timeout of at least two intervals tolerates one lost heartbeat. */
export const buildHeartbeatSchema = () => buildSectionSchema({
	intervalMs: buildDurationSchema(10).default(SETTING_DEFAULTS.heartbeatIntervalMs)
		.describe('Milliseconds between heartbeats on an open connection'),
	silenceMs: buildDurationSchema(20).default(SETTING_DEFAULTS.heartbeatSilenceMs)
		.describe('Milliseconds without any message after which a connection is considered lost and replaced by a new one; at least twice `intervalMs`'),
}).refine(({intervalMs, silenceMs}) => silenceMs >= 2 * intervalMs, {
	path: ['silenceMs'],
	error: `at least twice heartbeat.intervalMs (the default is ${SETTING_DEFAULTS.heartbeatSilenceMs})`,
}).prefault({}).describe('Heartbeats between the processes of the system');
