/**
Starts one process for each role: an entry that only takes calls, an owner of
all shards, three history holders, a sidecar with its engine and another with
its plain service.

Only listed entries may own shards, and of those the one that ranks first does;
so the calling entry is not listed, and the owner's name is chosen to rank first.
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
const MOST_NAMES = 10_000;
const ENGINE_SLOTS = 256;
const DATA_CENTRE = 'centre-1';
const SETTINGS = {shards: SHARDS, log: {level: 'warn'}};

const listEntry = (id: string) => ({
	id, role: 'entry' as const, peerAddress: '', dataCentre: DATA_CENTRE, state: 'live' as const,
});

const nameOwner = async (): Promise<string> => {
	const {h32} = await createXxhash();
	const shards = Array.from({length: SHARDS}, (_, shard) => shard as ShardId);
	for (let index = 0; index < MOST_NAMES; index++) {
		const name = `owner-${index}`;
		const entries = [name, ...HOLDERS].map(id => listEntry(id));
		if (shards.every(shard => rankCandidates(shard, entries, h32)[0]?.id === name)) {
			return name;
		}
	}

	throw new Error('no name ranks first for every shard');
};

const build = async ({builder, platform}: CapacityCluster, tokenDelayMs: number) => {
	const plan = {dataCentre: DATA_CENTRE, platformAddress: platform.address, settings: SETTINGS};
	const upstream = {dataCentre: DATA_CENTRE, slots: ENGINE_SLOTS, tokenDelayMs};
	const owner = await builder.addEntry({...plan, name: await nameOwner(), holdsHistory: false});
	const holders = await Promise.all(HOLDERS.map(async name => builder.addEntry({...plan, name, holdsHistory: true})));
	return {
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
		const {entry, owner, holders, engine, service} = nodes;
		// The owner chooses holders among those that it reaches when it takes over.
		await cluster.start([owner, ...holders, engine, service].map(({host}) => host), holders.map(({process}) => process));
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
