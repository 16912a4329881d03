/**
Builds the schema of the heartbeat between the system's own processes.
*/
import {SETTING_DEFAULTS} from '../setting-defaults.js';
import {buildDuration} from './build-duration.js';
import {buildSection} from './build-section.js';

/** Interval and silence bound of heartbeats; the bound leaves room for one lost heartbeat. */
export const buildHeartbeat = () => buildSection({
	intervalMs: buildDuration(10).default(SETTING_DEFAULTS.heartbeatIntervalMs)
		.describe('Milliseconds between two heartbeats on an open connection'),
	silenceMs: buildDuration(20).default(SETTING_DEFAULTS.heartbeatSilenceMs)
		.describe('Milliseconds without any message after which a connection counts as silent and a new one is opened; at least twice `intervalMs`'),
}).refine(({intervalMs, silenceMs}) => silenceMs >= 2 * intervalMs, {
	path: ['silenceMs'],
	error: `at least twice heartbeat.intervalMs (the default is ${SETTING_DEFAULTS.heartbeatSilenceMs})`,
}).prefault({}).describe('Heartbeats between the processes of the system');
