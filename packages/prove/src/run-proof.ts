/**
Runs one proof point: starts a cluster, drives clients under a fault schedule, and
checks the recorded history.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import {createEntryClient} from './client/create-entry-client.js';
import type {Cluster} from './cluster/cluster.js';
import {collectExecutions} from './cluster/collect-executions.js';
import {injectFault} from './cluster/inject-fault.js';
import {startCluster} from './cluster/start-cluster.js';
import {createRecorder} from './history/create-recorder.js';
import {formatOperations} from './history/format-operations.js';
import type {RecordedRun} from './history/recorded-run.js';
import type {Violation} from './history/violation.js';
import type {ProofPoint} from './points/proof-point.js';
import type {ProofContext} from './points/proof-context.js';
import {prepareTable} from './points/prepare-table.js';
import type {ProofVerdict} from './proof-verdict.js';
import {drawSchedule} from './schedule/draw-schedule.js';
import type {Fault} from './schedule/fault.js';

type ProofOptions = {
	/** The folder of the repository, which contains the built bundles. */
	readonly root: string;
	readonly seed: number;
	readonly seconds: number;
	/** Whether logs are kept even if no violation was found. */
	readonly shouldKeepLogs: boolean;
};

const WORKSPACE = 'proof';
const HASH_FACTOR = 31;

/** Derives a seed for each name, so that programs draw independently of one another. */
const createSeededRandom = (seed: number, name: string): Random => {
	let hash = seed;
	for (const character of name) {
		hash = (Math.imul(hash, HASH_FACTOR) + (character.codePointAt(0) ?? 0)) % 2_147_483_647;
	}

	return createRandom(hash);
};

const runSchedule = async (context: ProofContext, faults: readonly Fault[]): Promise<void> => {
	const startedAt = Date.now();
	const running: Array<Promise<void>> = [];
	for (const fault of faults) {
		await sleep(Math.max(0, fault.atMs - (Date.now() - startedAt)));
		running.push(injectFault(context.cluster, fault, context.recorder));
	}

	await Promise.all(running);
};

const recordRun = async (point: ProofPoint, context: ProofContext): Promise<{readonly run: RecordedRun; readonly evidence: unknown}> => {
	const faults = drawSchedule(context.createRandom('faults'), {
		seconds: context.seconds, faultsPerSecond: point.faultsPerSecond, targets: point.targets(context), durationMs: point.faultDurationMs,
	});
	const [evidence] = await Promise.all([point.drive(context), runSchedule(context, faults)]);
	const executions = await collectExecutions(context.cluster);
	return {run: {operations: context.recorder.operations, faults: context.recorder.faults, executions}, evidence};
};

const findUnexpectedExits = (cluster: Cluster): Violation[] => [...cluster.processes.values()]
	.filter(managed => managed.name.startsWith('entry') || managed.name.startsWith('sidecar'))
	.filter(managed => managed.crashes() > 0)
	.map(managed => ({message: `${managed.name} exited ${managed.crashes()} times without being told to`, at: Date.now()}));

const countOutcomes = (run: RecordedRun): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {kind, outcome} of run.operations) {
		const name = `${kind} ${outcome?.kind === 'refused' ? outcome.code : outcome?.kind ?? 'pending'}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
};

/** Ends all processes in any case. Keeps logs and the recorded run (`run.json`) if a violation was found or the run failed. */
export const runProof = async (point: ProofPoint, {root, seed, seconds, shouldKeepLogs}: ProofOptions): Promise<ProofVerdict> => {
	const cluster = await startCluster(root, point.cluster);
	const recorder = createRecorder();
	const client = createEntryClient(recorder, WORKSPACE);
	const context: ProofContext = {
		cluster, recorder, client, seconds, createRandom: name => createSeededRandom(seed, name),
	};
	let shouldKeepFolder = true;
	try {
		await prepareTable(cluster, WORKSPACE);
		const {run, evidence} = await recordRun(point, context);
		const violations = [...point.check(run, evidence), ...findUnexpectedExits(cluster)].toSorted((a, b) => a.at - b.at);
		shouldKeepFolder = shouldKeepLogs || violations.length > 0;
		writeFileSync(path.join(cluster.folder, 'run.json'), JSON.stringify(run, undefined, '\t'));
		return {
			point: point.name,
			seed,
			operations: run.operations.length,
			executions: run.executions.length,
			faults: run.faults.filter(({kind}) => !kind.endsWith(' over')).length,
			outcomes: countOutcomes(run),
			violations: violations.map(({message}) => message),
			timeline: violations[0] && formatOperations(run, violations[0]),
			isConclusive: point.isConclusive(run, evidence),
			logs: shouldKeepFolder ? cluster.folder : undefined,
		};
	} finally {
		await client.close();
		await cluster.close(shouldKeepFolder);
	}
};
