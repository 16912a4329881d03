/**
Schema of the settings file of `siskinhub-entry`.
*/
import * as z from 'zod';
import {buildDuration} from './schema/build-duration.js';
import {buildHeartbeat} from './schema/build-heartbeat.js';
import {buildHttpAddress} from './schema/build-http-address.js';
import {buildInteger} from './schema/build-integer.js';
import {buildListen} from './schema/build-listen.js';
import {buildLog} from './schema/build-log.js';
import {buildMetrics} from './schema/build-metrics.js';
import {buildName} from './schema/build-name.js';
import {buildPeer} from './schema/build-peer.js';
import {buildSection} from './schema/build-section.js';
import {buildTraces} from './schema/build-traces.js';
import {SETTING_BOUNDS} from './setting-bounds.js';
import {SETTING_DEFAULTS} from './setting-defaults.js';

// Leases of the platform's service last whole seconds.
const LEASE_STEP_MS = 1000;
const FOLDER_ERROR = 'the path of a folder';

const PlatformSection = buildSection({
	address: buildHttpAddress().describe('Address of the platform\'s service, as http://IP:PORT'),
	timeoutMs: buildDuration().default(SETTING_DEFAULTS.platformTimeoutMs)
		.describe('Milliseconds after which a call to the platform\'s service counts as unanswered'),
}).describe('The platform\'s service');

const LimitsSection = buildSection({
	maxBodyBytes: buildInteger(1024, SETTING_BOUNDS.bodyBytes).default(SETTING_DEFAULTS.maxBodyBytes)
		.describe('Largest body of a request, in bytes; larger ones are refused as `too-large`'),
	defaultDeadlineMs: buildDuration().default(SETTING_DEFAULTS.defaultDeadlineMs)
		.describe('Deadline in milliseconds of a call that gives none'),
}).prefault({}).describe('Limits of callers\' requests');

const LeaseSection = buildSection({
	ttlMs: buildInteger(LEASE_STEP_MS, SETTING_BOUNDS.durationMs, LEASE_STEP_MS).default(SETTING_DEFAULTS.leaseTtlMs)
		.describe('Milliseconds after the last renewal at which another entry may take over the shards; whole seconds'),
	renewEveryMs: buildDuration(100).default(SETTING_DEFAULTS.leaseRenewEveryMs)
		.describe('Milliseconds between two renewals; at most half of `ttlMs`'),
}).refine(({ttlMs, renewEveryMs}) => 2 * renewEveryMs <= ttlMs, {
	path: ['renewEveryMs'],
	error: `at most half of lease.ttlMs (the default is ${SETTING_DEFAULTS.leaseRenewEveryMs})`,
}).prefault({}).describe('The lease of the shards that this entry owns');

/** What the settings file of an entry may say. */
export const EntrySettingsSchema = buildSection({
	host: buildName().describe('Id of this host, unique in the deployment'),
	dataCentre: buildName().describe('Data centre of this host'),
	region: buildName().optional().describe('Region of the data centre').meta({defaultText: 'the value of `dataCentre`'}),
	http: buildListen().describe('Listener for callers and operators'),
	peer: buildPeer().describe('Listener for the other processes of the system'),
	dataFolder: z.string({error: FOLDER_ERROR}).min(1, {error: FOLDER_ERROR}).optional()
		.describe('Folder for copies of program histories; a host without one holds no copies')
		.meta({defaultText: 'no folder'}),
	platform: PlatformSection,
	shards: buildInteger(1, SETTING_BOUNDS.shards).default(SETTING_DEFAULTS.shards)
		.describe('Number of shards of programs; the same on every entry, and fixed once programs exist'),
	limits: LimitsSection,
	lease: LeaseSection,
	heartbeat: buildHeartbeat(),
	commitWindowMs: buildDuration().default(SETTING_DEFAULTS.commitWindowMs)
		.describe('Milliseconds for which writes to one log gather before they go to the platform\'s service together'),
	chunkGatherMs: buildInteger(0, 1000).default(SETTING_DEFAULTS.chunkGatherMs)
		.describe('Milliseconds for which pieces of an answer gather before they go to the caller together'),
	gracefulStopMs: buildDuration().default(SETTING_DEFAULTS.gracefulStopMs)
		.describe('Milliseconds that requests in flight have to finish after SIGTERM'),
	log: buildLog(),
	metrics: buildMetrics(),
	traces: buildTraces(),
});
