/**
Drains upstreams while connections go silent, and brings them back.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkLeaving} from '../checkers/check-leaving.js';
import {pick} from '../client/pick.js';
import {sendJsonRequest} from '../cluster/send-json-request.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {Point} from './point.js';
import type {ProofContext} from './proof-context.js';

const LEAVING_BOUND_MS = 3000;
const AWAY_MS = 6000;
const LIST_LAG_MS = 5000;
const STOP_TIMEOUT_MS = 12_000;

type Departure = Parameters<typeof checkLeaving>[1][number];

const drain = async ({recorder}: ProofContext, id: string, entryAddress: string): Promise<boolean> => {
	const open = recorder.invoke({kind: 'drain', via: id});
	try {
		const {status, body} = await sendJsonRequest('POST', `${entryAddress}/v1/upstreams/${id}/drain`, {headers: {'siskinhub-operator': 'prove'}});
		open.complete(status === 200 ? {kind: 'done', value: body} : {kind: 'cut', message: JSON.stringify(body)});
		return status === 200;
	} catch (error) {
		open.complete({kind: 'cut', message: String(error)});
		return false;
	}
};

/** The platform's list tells of the departure late; one entry's connection to the sidecar goes silent before it. */
const leaveAndReturn = async (context: ProofContext, index: number): Promise<Departure | undefined> => {
	const {cluster, recorder, createRandom} = context;
	const node = cluster.upstreams[index % cluster.upstreams.length]!;
	if (index % 2 === 1) {
		recorder.noteFault('silence', `${node.id}/peer`, `${cluster.cutters.get(`${node.id}/peer`)?.silence()} connections`);
	}

	const isDrained = await drain(context, node.id, pick(createRandom(`drain-${index}`), cluster.entries).address);
	const at = Date.now();
	await cluster.publishHosts(cluster.hosts.map(host => host.upstream?.id === node.id ? {...host, state: 'leaving'} : host), LIST_LAG_MS);
	await sleep(AWAY_MS);
	const until = Date.now();
	await cluster.publishHosts(cluster.hosts, 0);
	await node.sidecar.stop(STOP_TIMEOUT_MS);
	await node.sidecar.start();
	return isDrained ? {upstream: node.id, at, until} : undefined;
};

const leaveInTurn = async (context: ProofContext): Promise<Departure[]> => {
	const until = Date.now() + (context.seconds * 1000);
	const departures: Departure[] = [];
	for (let index = 0; Date.now() < until; index++) {
		const departure = await leaveAndReturn(context, index);
		if (departure) {
			departures.push(departure);
		}
	}

	return departures;
};

/** Three engines, so that two are left for the work. */
export const leavingPoint: Point<readonly Departure[]> = {
	name: 'leaving',
	cluster: {entries: 3, engines: 3, services: 0},
	faultsPerSecond: 0.3,
	faultDurationMs: [200, 1500],
	targets: context => listFaultTargets(context, ['silence', 'platform-slow']),
	async drive(context) {
		const [departures] = await Promise.all([leaveInTurn(context), drivePrograms(context, {programs: 10, turns: 20, serviceShare: 0})]);
		return departures;
	},
	check: (run, departures) => [...checkLeaving(run.executions, departures, LEAVING_BOUND_MS), ...checkRequests(run)],
	isTelling: ({executions}, departures) => departures.some(({at, until = 0}) => executions.some(({startedAt}) => startedAt > at && startedAt < until)),
};
