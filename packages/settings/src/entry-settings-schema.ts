/**
Schema of the settings file of `siskinhub-entry`.
*/
import * as z from 'zod';
import {buildDurationSchema} from './schema/build-duration-schema.js';
import {buildHeartbeatSchema} from './schema/build-heartbeat-schema.js';
import {buildHttpAddressSchema} from './schema/build-http-address-schema.js';
import {buildIntegerSchema} from './schema/build-integer-schema.js';
import {buildListenSchema} from './schema/build-listen-schema.js';
import {buildLogSchema} from './schema/build-log-schema.js';
import {buildMetricsSchema} from './schema/build-metrics-schema.js';
import {buildNameSchema} from './schema/build-name-schema.js';
import {buildPeerSchema} from './schema/build-peer-schema.js';
import {buildSectionSchema} from './schema/build-section-schema.js';
import {buildTracesSchema} from './schema/build-traces-schema.js';
import {SETTING_BOUNDS} from './setting-bounds.js';
import {SETTING_DEFAULTS} from './setting-defaults.js';

// The platform's service only supports leases of whole seconds.
const LEASE_STEP_MS = 1000;
const FOLDER_ERROR = 'the path of a folder';

const PlatformSection = buildSectionSchema({
	address: buildHttpAddressSchema().describe('Address of the platform\'s service, as http://IP:PORT'),
	timeoutMs: buildDurationSchema().default(SETTING_DEFAULTS.platformTimeoutMs)
		.describe('Timeout in milliseconds of a call to the platform\'s service'),
}).describe('The platform\'s service');

const LimitsSection = buildSectionSchema({
	maxBodyBytes: buildIntegerSchema(1024, SETTING_BOUNDS.bodyBytes).default(SETTING_DEFAULTS.maxBodyBytes)
		.describe('Maximum size in bytes of the body of a request; a larger one is refused as `too-large`'),
	defaultDeadlineMs: buildDurationSchema().default(SETTING_DEFAULTS.defaultDeadlineMs)
		.describe('Deadline in milliseconds of a call that gives none'),
}).prefault({}).describe('Limits for requests of callers');

const LeaseSection = buildSectionSchema({
	ttlMs: buildIntegerSchema(LEASE_STEP_MS, SETTING_BOUNDS.durationMs, LEASE_STEP_MS).default(SETTING_DEFAULTS.leaseTtlMs)
		.describe('Milliseconds from the last renewal until another entry may take over the shards; a multiple of 1000'),
	renewEveryMs: buildDurationSchema(100).default(SETTING_DEFAULTS.leaseRenewEveryMs)
		.describe('Milliseconds between renewals; at most half of `ttlMs`'),
}).refine(({ttlMs, renewEveryMs}) => 2 * renewEveryMs <= ttlMs, {
	path: ['renewEveryMs'],
	error: `at most half of lease.ttlMs (the default is ${SETTING_DEFAULTS.leaseRenewEveryMs})`,
}).prefault({}).describe('The lease of the shards that this entry owns');

/** Settings of an entry. */
export const EntrySettingsSchema = buildSectionSchema({
	host: buildNameSchema().describe('Id of this host, unique in the deployment'),
	dataCentre: buildNameSchema().describe('Data centre of this host'),
	region: buildNameSchema().optional().describe('Region of the data centre').meta({defaultText: 'the value of `dataCentre`'}),
	http: buildListenSchema().describe('Listener for callers and operators'),
	peer: buildPeerSchema().describe('Listener for the other processes of the system'),
	dataFolder: z.string({error: FOLDER_ERROR}).min(1, {error: FOLDER_ERROR}).optional()
		.describe('Folder for copies of program histories; without one the host holds no copies')
		.meta({defaultText: 'no folder'}),
	platform: PlatformSection,
	shards: buildIntegerSchema(1, SETTING_BOUNDS.shards).default(SETTING_DEFAULTS.shards)
		.describe('Number of shards over which programs are distributed; must be the same on every entry and must not change once programs exist'),
	limits: LimitsSection,
	lease: LeaseSection,
	heartbeat: buildHeartbeatSchema(),
	commitWindowMs: buildDurationSchema().default(SETTING_DEFAULTS.commitWindowMs)
		.describe('Milliseconds for which writes to one log are collected before they are sent to the platform\'s service as one batch'),
	chunkGatherMs: buildIntegerSchema(0, 1000).default(SETTING_DEFAULTS.chunkGatherMs)
		.describe('Milliseconds for which chunks of a response are collected before they are sent to the caller together'),
	gracefulStopMs: buildDurationSchema().default(SETTING_DEFAULTS.gracefulStopMs)
		.describe('Milliseconds after SIGTERM within which requests in flight can finish'),
	log: buildLogSchema(),
	metrics: buildMetricsSchema(),
	traces: buildTracesSchema(),
});
