/**
Schema of the settings file of `siskinhub-sidecar`.
*/
import * as z from 'zod';
import {buildDurationSchema} from './schema/build-duration-schema.js';
import {buildHeartbeatSchema} from './schema/build-heartbeat-schema.js';
import {buildHttpAddressSchema} from './schema/build-http-address-schema.js';
import {buildIntegerSchema} from './schema/build-integer-schema.js';
import {buildLogSchema} from './schema/build-log-schema.js';
import {buildMetricsSchema} from './schema/build-metrics-schema.js';
import {buildNameSchema} from './schema/build-name-schema.js';
import {buildPeerSchema} from './schema/build-peer-schema.js';
import {buildSectionSchema} from './schema/build-section-schema.js';
import {buildTracesSchema} from './schema/build-traces-schema.js';
import {SETTING_BOUNDS} from './setting-bounds.js';
import {SETTING_DEFAULTS} from './setting-defaults.js';

const UPSTREAM_KINDS = ['model', 'service'] as const;

const UpstreamSection = buildSectionSchema({
	id: buildNameSchema().describe('Id of the upstream, unique in the deployment'),
	kind: z.enum(UPSTREAM_KINDS, {error: 'model or service'})
		.describe('`model` for a model engine, `service` for a plain service'),
	target: buildNameSchema().describe('Name of the model or service, as callers request it'),
	address: buildHttpAddressSchema().describe('Address of the upstream, as http://IP:PORT'),
	slots: buildIntegerSchema(1, SETTING_BOUNDS.slots).describe('Number of calls that the upstream runs at the same time'),
	memoryTokens: buildIntegerSchema(0, Number.MAX_SAFE_INTEGER).default(0)
		.describe('Number of tokens of prefixes that a model engine can hold; with 0 the queue ignores memory'),
	checksFencingNumbers: z.boolean({error: 'true or false'}).default(false)
		.describe('Whether the upstream itself refuses requests with an old fencing number; if not, only the sidecar checks it'),
}).describe('The upstream of this sidecar');

const RecordRetentionSection = buildSectionSchema({
	maxRequests: buildIntegerSchema(100, SETTING_BOUNDS.retainedRequests).default(SETTING_DEFAULTS.maxRetainedRequests)
		.describe('Number of finished requests whose outcome the sidecar keeps to recognise repeated requests'),
}).prefault({}).describe('Retention of finished requests');

/** Settings of a sidecar. */
export const SidecarSettingsSchema = buildSectionSchema({
	host: buildNameSchema().describe('Id of this sidecar, unique in the deployment'),
	dataCentre: buildNameSchema().describe('Data centre of this host'),
	peer: buildPeerSchema().describe('Listener for the other processes of the system'),
	upstream: UpstreamSection,
	recordRetention: RecordRetentionSection,
	reconcileIntervalMs: buildDurationSchema(100).default(SETTING_DEFAULTS.reconcileIntervalMs)
		.describe('Milliseconds between comparisons of the prefixes that the engine holds with those that live programs need'),
	heartbeat: buildHeartbeatSchema(),
	gracefulStopMs: buildDurationSchema().default(SETTING_DEFAULTS.gracefulStopMs)
		.describe('Milliseconds after SIGTERM within which requests in flight can finish'),
	log: buildLogSchema(),
	metrics: buildMetricsSchema(),
	traces: buildTracesSchema(),
});
