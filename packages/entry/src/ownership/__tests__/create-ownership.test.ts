import {setTimeout as delay} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {expect, onTestFinished, test} from 'vitest';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {createLogger} from '@siskinhub/observe/create-logger.js';
import {createPlatformClient} from '@siskinhub/platform/create-platform-client.js';
import {createPlatformServer} from '@siskinhub/standins/platform/create-platform-server.js';
import type {ShardOwner} from '../../owner/shard-owner.js';
import {createCandidateRanking} from '../create-candidate-ranking.js';
import {createOwnership} from '../create-ownership.js';
import {createShardMap} from '../create-shard-map.js';

const SHARDS = 4;
// Longer than several polls, so that takeovers could happen before renewals.
const RENEW_EVERY_MS = 2500;
const LEASE_TTL_MS = 4000;
const START_MS = 4500;
const OUTAGE_MS = 5500;
const AFTER_OUTAGE_MS = 5000;
const HOSTS = ['e1', 'e2'];

const hash = (text: string): number => [...text].reduce((sum, letter) => ((sum * 31) + letter.codePointAt(0)!) % 65_521, 7);

/** The host list is empty for the first 100 ms, as when a real entry starts. */
const createRank = () => {
	const startedAt = Date.now();
	const entries = HOSTS.map(id => ({
		id, role: 'entry' as const, peerAddress: id, dataCentre: 'delta-a', state: 'live' as const,
	}));
	return createCandidateRanking({entries: () => Date.now() - startedAt < 100 ? [] : entries, hash, isLeaving: () => false});
};

const startEntries = async () => {
	const server = await createPlatformServer({ip: '127.0.0.1', port: 0});
	const takeovers: string[] = [];
	const entries = HOSTS.map(host => createOwnership({
		shards: SHARDS,
		host,
		instance: `i-${host}`,
		peerAddress: host,
		platform: createPlatformClient({address: server.address, callTimeoutMs: 500}),
		rank: createRank(),
		map: createShardMap(),
		leaseTtlMs: LEASE_TTL_MS,
		leaseRenewEveryMs: RENEW_EVERY_MS,
		async takeOver(shard: ShardId) {
			takeovers.push(`${host} ${shard}`);
			const owner: Partial<ShardOwner> = {
				shard, epoch: takeovers.length as Epoch, holders: [], isFenced: () => false, deactivate: () => undefined, copyHistories: async () => true,
			};
			return ok(owner as ShardOwner);
		},
		onOwned: () => undefined,
		shouldReplaceHolders: () => false,
		log: createLogger({level: 'silent', host}),
	}));
	onTestFinished(async () => {
		for (const entry of entries) {
			entry.stop();
		}

		await server.close();
	});
	const setDown = async (down: boolean) => fetch(`${server.address}/faults`, {method: 'PUT', body: JSON.stringify({down}), headers: {connection: 'close'}});
	return {takeovers, setDown, countOwned: () => entries.map(entry => entry.owned().length)};
};

test('entries that start together share the shards and keep them during an outage longer than their leases', async () => {
	const {takeovers, setDown, countOwned} = await startEntries();
	await delay(START_MS);
	const [first = 0, second = 0] = countOwned();
	expect(first + second).toBe(SHARDS);
	expect(takeovers).toHaveLength(SHARDS);
	await setDown(true);
	await delay(OUTAGE_MS);
	await setDown(false);
	await delay(AFTER_OUTAGE_MS);
	expect(takeovers).toHaveLength(SHARDS);
	expect(countOwned()).toEqual([first, second]);
});
