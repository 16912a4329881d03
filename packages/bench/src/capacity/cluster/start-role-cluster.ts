/**
Starts one process for each role: an entry that only receives calls, an owner of
all shards, three history holders, a sidecar with its engine and a sidecar with
its plain service.

Only the three entries of the host list that rank first for a shard may own it.
Therefore the entry that receives calls is not listed, and the names of the
others are chosen so that no holder is among the three.
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
const MAX_NAMES_TRIED = 100_000;
/** No process listens on this port. */
const UNREACHABLE_ADDRESS = 'http://127.0.0.1:1';
const ENGINE_SLOTS = 256;
const DATA_CENTRE = 'centre-1';
const SETTINGS = {shards: SHARDS, log: {level: 'warn'}};

/** Creates the line of an entry in the host list. */
const createListedEntry = (id: string) => ({
	id, role: 'entry' as const, peerAddress: UNREACHABLE_ADDRESS, dataCentre: DATA_CENTRE, state: 'live' as const,
});

type ListedEntry = ReturnType<typeof createListedEntry>;

/** Finds an entry whose name ranks acceptably among `others` for every shard. */
const findRankedEntry = (prefix: string, others: readonly ListedEntry[], hash: (text: string) => number, isAcceptable: (ranked: readonly string[], name: string) => boolean): ListedEntry => {
	const shards = Array.from({length: SHARDS}, (_, shard) => shard as ShardId);
	for (let index = 0; index < MAX_NAMES_TRIED; index++) {
		const entry = createListedEntry(`${prefix}-${index}`);
		const rankings = shards.map(shard => rankCandidates(shard, [entry, ...others], hash).map(({id}) => id));
		if (rankings.every(ranked => isAcceptable(ranked, entry.id))) {
			return entry;
		}
	}

	throw new Error(`no name with the prefix ${prefix} has the required rank for every shard`);
};

/** Chooses the name of the owner, which ranks first, and two entries that do not run but rank before the holders, so that no holder is a candidate. */
const chooseRankedEntries = async () => {
	const {h32} = await createXxhash();
	const holders = HOLDERS.map(id => createListedEntry(id));
	const isBeforeHolders = (ranked: readonly string[], name: string) => HOLDERS.every(holder => ranked.indexOf(name) < ranked.indexOf(holder));
	const absent = ['absent', 'missing'].map(prefix => findRankedEntry(prefix, holders, h32, isBeforeHolders));
	const owner = findRankedEntry('owner', [...absent, ...holders], h32, (ranked, name) => ranked[0] === name);
	return {owner, absent};
};

const addProcesses = async ({builder, platform}: CapacityCluster, tokenDelayMs: number) => {
	const plan = {dataCentre: DATA_CENTRE, platformAddress: platform.address, settings: SETTINGS};
	const upstream = {dataCentre: DATA_CENTRE, slots: ENGINE_SLOTS, tokenDelayMs};
	const {owner: {id: ownerName}, absent} = await chooseRankedEntries();
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

/** Resolves when the owner owns all shards and the table has the rows that the load uses. */
export const startRoleCluster = async (root: string, tokenDelayMs: number) => {
	const cluster = await createCapacityCluster(root);
	try {
		const members = await addProcesses(cluster, tokenDelayMs);
		const {
			absent, entry, owner, holders, engine, service,
		} = members;
		// The owner chooses holders among the entries that it can reach when it takes a shard over, so the holders start first.
		const listed = [owner, ...holders, engine, service].map(({host}) => host);
		await cluster.start([...listed, ...absent], holders.map(({process}) => process));
		await waitUntil('the owner owns all shards', async () => await countOwnedShards(owner.address) === SHARDS);
		await addTableRows({entries: [owner, entry]}, {'deployment/load': {}, 'kind/agent': {}, 'workspace/load': {}});
		const roles = {
			entry: entry.process, owner: owner.process, holder: holders[0]!.process, sidecar: engine.sidecar, 'service sidecar': service.sidecar,
		};
		return {...cluster, ...members, roles};
	} catch (error) {
		await cluster.close();
		throw error;
	}
};
