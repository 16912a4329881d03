/**
Sends a request that crashes every upstream it runs on, again and again, under
new request ids and through every entry, while other programs run.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkCrashingRequest} from '../checkers/check-crashing-request.js';
import {runProgram} from '../client/run-program.js';
import {drivePrograms} from './drive-programs.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';

const CRASHING_TEXT = '[[poison]]';
const CRASHING_ALIAS = 'poison';
const PAUSE_MS = 300;
const SUPERVISION_INTERVAL_MS = 300;

const sendCrashingRequests = async ({client, cluster, createRandom, seconds}: ProofContext): Promise<number> => {
	const until = Date.now() + (seconds * 1000);
	let sent = 0;
	for (; Date.now() < until; sent++) {
		await runProgram({
			client, entries: cluster.entries, random: createRandom(`${CRASHING_ALIAS}-${sent}`), alias: `${CRASHING_ALIAS}-${sent}`, turns: 1, until, giveUpAt: until,
			serviceShare: 0,
			nonIdempotentShare: 0,
			// The input is the same under every request id.
			fixedText: `[[mark=${CRASHING_ALIAS}.t1.r1]] [[tokens=40]] ${CRASHING_TEXT}`,
		});
		await sleep(PAUSE_MS);
	}

	return sent;
};

/** Restarts crashed upstreams, as their own supervisor would. */
const restartCrashedUpstreams = async ({cluster, recorder}: ProofContext, until: number): Promise<void> => {
	while (Date.now() < until) {
		for (const {id, upstream} of cluster.upstreams) {
			if (!upstream.isRunning()) {
				recorder.recordFault('crashed', id);
				await upstream.start();
			}
		}

		await sleep(SUPERVISION_INTERVAL_MS);
	}
};

const isCrashing = (mark: string): boolean => mark.startsWith(CRASHING_ALIAS);

/** No faults are injected; the crash itself is the fault. */
export const crashingRequestPoint: ProofPoint<number> = {
	name: 'crashing-request',
	cluster: {
		entries: 3, engines: 4, services: 0, crashOn: CRASHING_TEXT,
	},
	faultsPerSecond: 0,
	faultDurationMs: [0, 0],
	targets: () => ({}),
	async drive(context) {
		const until = Date.now() + (context.seconds * 1000);
		const [sent] = await Promise.all([
			sendCrashingRequests(context),
			restartCrashedUpstreams(context, until + 2000),
			drivePrograms(context, {
				programs: 6, turns: 10, serviceShare: 0, nonIdempotentShare: 0,
			}),
		]);
		return sent;
	},
	check: run => checkCrashingRequest(run, isCrashing),
	isConclusive: ({executions}, sent) => sent >= 3 && executions.some(({mark}) => isCrashing(mark)),
};
