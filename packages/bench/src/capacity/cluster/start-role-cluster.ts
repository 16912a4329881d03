/**
Starts one process for each role: an entry that only takes calls, an owner of
all shards, three history holders, a sidecar with its engine and another with
its plain service.

Only the first three listed entries of a shard may own it; so the calling entry
is not listed, and names are chosen so that no holder is among the three.
*/
import {addTableRows} from '@siskinhub/standins/cluster/add-table-rows.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {rankCandidates} from '@siskinhub/entry/ownership/rank-candidates.js';
import createXxhash from 'xxhash-wasm';
import type {CapacityCluster} from './capacity-cluster.js';
import {countOwnedShards} from './count-owned-shards.js';
import {createCapacityCluster} from './create-capacity-cluster.js';
import {waitUntil} from './wait-until.js';

const SHARDS = 2;
const HOLDERS = ['holder-1', 'holder-2', 'holder-3'];
const MOST_NAMES = 100_000;
/** Nothing listens there. */
const ABSENT_ADDRESS = 'http://127.0.0.1:1';
const ENGINE_SLOTS = 256;
const DATA_CENTRE = 'centre-1';
const SETTINGS = {shards: SHARDS, log: {level: 'warn'}};

const listEntry = (id: string) => ({
	id, role: 'entry' as const, peerAddress: ABSENT_ADDRESS, dataCentre: DATA_CENTRE, state: 'live' as const,
});

type Entry = ReturnType<typeof listEntry>;

/** Finds a name that fits `isFit` in the order of every shard. */
const findEntry = (prefix: string, others: readonly Entry[], hash: (text: string) => number, isFit: (ranked: readonly string[], name: string) => boolean): Entry => {
	const shards = Array.from({length: SHARDS}, (_, shard) => shard as ShardId);
	for (let index = 0; index < MOST_NAMES; index++) {
		const entry = listEntry(`${prefix}-${index}`);
		const rankings = shards.map(shard => rankCandidates(shard, [entry, ...others], hash).map(({id}) => id));
		if (rankings.every(ranked => isFit(ranked, entry.id))) {
			return entry;
		}
	}

	throw new Error(`no name of a ${prefix} ranks as it should`);
};

/** The owner ranks first, then two entries that do not exist, so that no holder is a candidate. */
const rankRoles = async () => {
	const {h32} = await createXxhash();
	const holders = HOLDERS.map(id => listEntry(id));
	const isBeforeHolders = (ranked: readonly string[], name: string) => HOLDERS.every(holder => ranked.indexOf(name) < ranked.indexOf(holder));
	const absent = ['absent', 'missing'].map(prefix => findEntry(prefix, holders, h32, isBeforeHolders));
	const owner = findEntry('owner', [...absent, ...holders], h32, (ranked, name) => ranked[0] === name);
	return {owner, absent};
};

const build = async ({builder, platform}: CapacityCluster, tokenDelayMs: number) => {
	const plan = {dataCentre: DATA_CENTRE, platformAddress: platform.address, settings: SETTINGS};
	const upstream = {dataCentre: DATA_CENTRE, slots: ENGINE_SLOTS, tokenDelayMs};
	const {owner: {id: ownerName}, absent} = await rankRoles();
	const owner = await builder.addEntry({...plan, name: ownerName, holdsHistory: false});
	const holders = await Promise.all(HOLDERS.map(async name => builder.addEntry({...plan, name, holdsHistory: true})));
	return {
		absent,
		entry: await builder.addEntry({...plan, name: 'entry', holdsHistory: false}),
		owner,
		holders,
		engine: await builder.addUpstream({
			...upstream, id: 'engine', kind: 'model', target: 'model',
		}),
		service: await builder.addUpstream({
			...upstream, id: 'service', kind: 'service', target: 'service',
		}),
	};
};

/** Resolves when the owner owns all shards and the table has the rows that the load names. */
export const startRoleCluster = async (root: string, tokenDelayMs: number) => {
	const cluster = await createCapacityCluster(root);
	try {
		const nodes = await build(cluster, tokenDelayMs);
		const {
			absent, entry, owner, holders, engine, service,
		} = nodes;
		// The owner chooses holders among those that it reaches when it takes over.
		const listed = [owner, ...holders, engine, service].map(({host}) => host);
		await cluster.start([...listed, ...absent], holders.map(({process}) => process));
		await waitUntil('the owner owns all shards', async () => await countOwnedShards(owner.address) === SHARDS);
		await addTableRows({entries: [owner, entry]}, {'deployment/load': {}, 'kind/agent': {}, 'workspace/load': {}});
		const roles = {
			entry: entry.process, owner: owner.process, holder: holders[0]!.process, sidecar: engine.sidecar, 'service sidecar': service.sidecar,
		};
		return {...cluster, ...nodes, roles};
	} catch (error) {
		await cluster.close();
		throw error;
	}
};
