/**
Stops daemons under load, one after another, and restarts them.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkGracefulStop} from '../checkers/check-graceful-stop.js';
import {pick} from '../client/pick.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';

// The settings of a proof give requests 10 s to finish (`gracefulStopMs`).
const STOP_BOUND_MS = 12_000;
const PAUSE_MS = 1500;

type PlannedStop = Parameters<typeof checkGracefulStop>[1][number];

const stopAndRestart = async ({cluster, recorder}: ProofContext, name: string): Promise<PlannedStop> => {
	const managed = cluster.processes.get(name)!;
	const signalledAt = Date.now();
	recorder.recordFault('stop', name);
	const exitCode = await managed.stop(STOP_BOUND_MS);
	const exitedAt = Date.now();
	recorder.recordFault('stop over', name, `exit code ${exitCode}`);
	await managed.start();
	return {
		process: name, signalledAt, exitedAt, exitCode,
	};
};

const stopDaemonsInTurn = async (context: ProofContext): Promise<PlannedStop[]> => {
	const {cluster, createRandom, seconds} = context;
	const random = createRandom('stops');
	const daemons = [...cluster.entries.map(({name}) => name), ...cluster.upstreams.map(({sidecar}) => sidecar.name)];
	const until = Date.now() + (seconds * 1000);
	const stops: PlannedStop[] = [];
	while (Date.now() < until) {
		await sleep(PAUSE_MS);
		stops.push(await stopAndRestart(context, pick(random, daemons)));
	}

	return stops;
};

/** No faults are injected besides the planned stops. */
export const gracefulStopPoint: ProofPoint<readonly PlannedStop[]> = {
	name: 'graceful-stop',
	cluster: {
		entries: 3, engines: 2, services: 1, tokenDelayMs: 15,
	},
	faultsPerSecond: 0,
	faultDurationMs: [0, 0],
	targets: () => ({}),
	async drive(context) {
		const [stops] = await Promise.all([stopDaemonsInTurn(context), drivePrograms(context, {programs: 8, turns: 20, serviceShare: 0.2})]);
		return stops;
	},
	check: (run, stops) => [...checkGracefulStop(run, stops, STOP_BOUND_MS), ...checkRequests(run)],
	isConclusive: ({operations}, stops) => stops.length >= 3
		&& stops.some(({signalledAt}) => operations.some(({acceptedAt = Infinity, completedAt = 0}) => acceptedAt < signalledAt && completedAt > signalledAt)),
};
