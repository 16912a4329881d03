/**
Schema of the settings file of `siskinhub-sidecar`.
*/
import * as z from 'zod';
import {buildDuration} from './schema/build-duration.js';
import {buildHeartbeat} from './schema/build-heartbeat.js';
import {buildHttpAddress} from './schema/build-http-address.js';
import {buildInteger} from './schema/build-integer.js';
import {buildLog} from './schema/build-log.js';
import {buildMetrics} from './schema/build-metrics.js';
import {buildName} from './schema/build-name.js';
import {buildPeer} from './schema/build-peer.js';
import {buildSection} from './schema/build-section.js';
import {buildTraces} from './schema/build-traces.js';
import {SETTING_BOUNDS} from './setting-bounds.js';
import {SETTING_DEFAULTS} from './setting-defaults.js';

const UPSTREAM_KINDS = ['model', 'service'] as const;

const UpstreamSection = buildSection({
	id: buildName().describe('Id of the upstream, unique in the deployment'),
	kind: z.enum(UPSTREAM_KINDS, {error: 'model or service'})
		.describe('`model` for a model engine, `service` for a plain service'),
	target: buildName().describe('Name of the model or service that callers ask for'),
	address: buildHttpAddress().describe('Where the upstream listens, as http://IP:PORT'),
	slots: buildInteger(1, SETTING_BOUNDS.slots).describe('Calls that the upstream runs at the same time'),
	memoryTokens: buildInteger(0, Number.MAX_SAFE_INTEGER).default(0)
		.describe('Tokens of prefixes that a model engine can hold; with 0 the queue does not heed memory'),
	checksFencingNumbers: z.boolean({error: 'true or false'}).default(false)
		.describe('Whether the upstream itself refuses orders that carry an old fencing number; if not, only the sidecar checks'),
}).describe('The upstream beside which this process runs');

const RecordRetentionSection = buildSection({
	maxRequests: buildInteger(100, SETTING_BOUNDS.retainedRequests).default(SETTING_DEFAULTS.maxRetainedRequests)
		.describe('Finished requests whose outcome the sidecar remembers, to recognise a repeated one'),
}).prefault({}).describe('Memory of finished requests');

/** What the settings file of a sidecar may say. */
export const SidecarSettingsSchema = buildSection({
	host: buildName().describe('Id of this process, unique in the deployment'),
	dataCentre: buildName().describe('Data centre of this host'),
	peer: buildPeer().describe('Listener for the other processes of the system'),
	upstream: UpstreamSection,
	recordRetention: RecordRetentionSection,
	reconcileIntervalMs: buildDuration(100).default(SETTING_DEFAULTS.reconcileIntervalMs)
		.describe('Milliseconds between two comparisons of what the engine holds with what live programs need'),
	heartbeat: buildHeartbeat(),
	gracefulStopMs: buildDuration().default(SETTING_DEFAULTS.gracefulStopMs)
		.describe('Milliseconds that requests in flight have to finish after SIGTERM'),
	log: buildLog(),
	metrics: buildMetrics(),
	traces: buildTraces(),
});
