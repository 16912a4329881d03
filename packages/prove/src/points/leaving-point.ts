/**
Drains upstreams while connections go silent, and makes them available again.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkLeaving} from '../checkers/check-leaving.js';
import {pick} from '../client/pick.js';
import {sendJsonRequest} from '../cluster/send-json-request.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';

const LEAVING_BOUND_MS = 3000;
const LEAVING_MS = 6000;
const HOST_LIST_LAG_MS = 5000;
const STOP_TIMEOUT_MS = 12_000;

type LeavingPeriod = Parameters<typeof checkLeaving>[1][number];

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

/** The platform's list of hosts shows the drain late; for every second drain, the open connections to the sidecar go silent before it. */
const drainAndRestore = async (context: ProofContext, index: number): Promise<LeavingPeriod | undefined> => {
	const {cluster, recorder, createRandom} = context;
	const node = cluster.upstreams[index % cluster.upstreams.length]!;
	if (index % 2 === 1) {
		recorder.recordFault('silence', `${node.id}/peer`, `${cluster.relays.get(`${node.id}/peer`)?.silence()} connections`);
	}

	const isDrained = await drain(context, node.id, pick(createRandom(`drain-${index}`), cluster.entries).address);
	const at = Date.now();
	await cluster.publishHosts(cluster.hosts.map(host => host.upstream?.id === node.id ? {...host, state: 'leaving'} : host), HOST_LIST_LAG_MS);
	await sleep(LEAVING_MS);
	const until = Date.now();
	await cluster.publishHosts(cluster.hosts, 0);
	await node.sidecar.stop(STOP_TIMEOUT_MS);
	await node.sidecar.start();
	return isDrained ? {upstream: node.id, at, until} : undefined;
};

const drainUpstreamsInTurn = async (context: ProofContext): Promise<LeavingPeriod[]> => {
	const until = Date.now() + (context.seconds * 1000);
	const leavingPeriods: LeavingPeriod[] = [];
	for (let index = 0; Date.now() < until; index++) {
		const leavingPeriod = await drainAndRestore(context, index);
		if (leavingPeriod) {
			leavingPeriods.push(leavingPeriod);
		}
	}

	return leavingPeriods;
};

/** Uses three engines, so that two are left to serve calls. */
export const leavingPoint: ProofPoint<readonly LeavingPeriod[]> = {
	name: 'leaving',
	cluster: {entries: 3, engines: 3, services: 0},
	faultsPerSecond: 0.3,
	faultDurationMs: [200, 1500],
	targets: context => listFaultTargets(context, ['silence', 'platform-slow']),
	async drive(context) {
		const [leavingPeriods] = await Promise.all([drainUpstreamsInTurn(context), drivePrograms(context, {programs: 10, turns: 20, serviceShare: 0})]);
		return leavingPeriods;
	},
	check: (run, leavingPeriods) => [...checkLeaving(run.executions, leavingPeriods, LEAVING_BOUND_MS), ...checkRequests(run)],
	isConclusive: ({executions}, leavingPeriods) => leavingPeriods.some(({at, until = 0}) => executions.some(({startedAt}) => startedAt > at && startedAt < until)),
};
