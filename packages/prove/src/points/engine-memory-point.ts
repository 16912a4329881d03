/**
Programs end, or stop calling without ending, while cache events are dropped and
sidecars die.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkEngineMemory} from '../checkers/check-engine-memory.js';
import {sendJsonRequest} from '../cluster/send-json-request.js';
import type {RecordedRun} from '../history/recorded-run.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {editCell} from './edit-cell.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';
import {readTable} from './read-table.js';

// A sidecar may be dead for up to 3 s, and reconciles once a second in a proof.
const RELEASE_BOUND_MS = 15_000;
const SNAPSHOT_INTERVAL_MS = 500;
const SETTLE_MS = 16_000;
const IDLE_LIMIT_SECONDS = 3;
const DROPPED_EVENT_SHARE = 0.5;

type CacheSnapshot = Parameters<typeof checkEngineMemory>[0][number];
type MemoryEvidence = {readonly snapshots: readonly CacheSnapshot[]; readonly hasIdleLimit: boolean};

const takeSnapshots = async ({cluster}: ProofContext, until: number): Promise<CacheSnapshot[]> => {
	const snapshots: CacheSnapshot[] = [];
	await Promise.all(cluster.upstreams.map(async ({id, address}) => {
		while (Date.now() < until) {
			const at = Date.now();
			try {
				const {body} = await sendJsonRequest('GET', `${address}/cache`);
				snapshots.push({at, engine: id, groups: (body as {groups: Array<{group: string}>}).groups.map(({group}) => group)});
			} catch {
				// A dead engine holds no memory.
			}

			await sleep(SNAPSHOT_INTERVAL_MS);
		}
	}));
	return snapshots;
};

const limitIdleTime = async ({cluster, recorder}: ProofContext): Promise<boolean> => {
	const table = await readTable(cluster.entries[0]!.address);
	const answer = table && await editCell({
		recorder, entries: cluster.entries, operator: 'prove', editId: 'idle', against: table.revision, row: 'kind/agent', cell: 'idle-time', value: IDLE_LIMIT_SECONDS,
	});
	return answer?.revision !== undefined;
};

/** A program has ended when its end was answered, or once it was idle for as long as its row allows. */
const listEndedPrograms = ({operations}: RecordedRun, hasIdleLimit: boolean): Array<{readonly program: string; readonly endedAt: number}> => {
	const lastSeen = new Map<string, number>();
	const ended = new Map<string, number>();
	for (const {kind, program, invokedAt, completedAt = Infinity, outcome} of operations) {
		if (program !== undefined) {
			lastSeen.set(program, Math.max(lastSeen.get(program) ?? 0, completedAt, invokedAt));
			if (kind === 'end' && outcome?.kind === 'done') {
				ended.set(program, completedAt);
			}
		}
	}

	const idle = [...lastSeen].filter(([program]) => hasIdleLimit && !ended.has(program)).map(([program, at]) => ({program, endedAt: at + (IDLE_LIMIT_SECONDS * 1000)}));
	return [...idle, ...Array.from(ended, ([program, endedAt]) => ({program, endedAt}))];
};

/** Snapshots continue until the prefix of the last program must have been released. */
export const engineMemoryPoint: ProofPoint<MemoryEvidence> = {
	name: 'engine-memory',
	cluster: {entries: 3, engines: 2, services: 0},
	faultsPerSecond: 0.5,
	faultDurationMs: [200, 3000],
	targets: context => listFaultTargets(context, ['kill', 'freeze', 'silence', 'platform-down']),
	async drive(context) {
		const hasIdleLimit = await limitIdleTime(context);
		await Promise.all(context.cluster.upstreams.map(async ({address}) => sendJsonRequest('PUT', `${address}/faults`, {body: {dropCacheEvents: DROPPED_EVENT_SHARE}})));
		const until = Date.now() + (context.seconds * 1000);
		// Every second client ends its programs; the programs of the others just stop calling.
		const [snapshots] = await Promise.all([
			takeSnapshots(context, until + SETTLE_MS + RELEASE_BOUND_MS),
			drivePrograms(context, {
				programs: 10, turns: 5, serviceShare: 0, shouldClientEndPrograms: client => client % 2 === 0,
			}),
		]);
		return {snapshots, hasIdleLimit};
	},
	check: (run, {snapshots, hasIdleLimit}) => [...checkEngineMemory(snapshots, listEndedPrograms(run, hasIdleLimit), RELEASE_BOUND_MS), ...checkRequests(run)],
	isConclusive: (run, {snapshots, hasIdleLimit}) => listEndedPrograms(run, hasIdleLimit).length >= 10 && snapshots.some(({groups}) => groups.length > 0),
};
