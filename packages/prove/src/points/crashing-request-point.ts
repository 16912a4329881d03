/**
A request that crashes every upstream that runs it is sent again and again,
under new request ids and through every entry, beside innocent programs.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkCrashingRequest} from '../checkers/check-crashing-request.js';
import {runProgram} from '../client/run-program.js';
import {drivePrograms} from './drive-programs.js';
import type {Point} from './point.js';
import type {ProofContext} from './proof-context.js';

const POISON = '[[poison]]';
const POISON_ALIAS = 'poison';
const PAUSE_MS = 300;
const SUPERVISE_EVERY_MS = 300;

const sendPoison = async ({client, cluster, createRandom, seconds}: ProofContext): Promise<number> => {
	const until = Date.now() + (seconds * 1000);
	let sent = 0;
	for (; Date.now() < until; sent++) {
		await runProgram({
			client, entries: cluster.entries, random: createRandom(`${POISON_ALIAS}-${sent}`), alias: `${POISON_ALIAS}-${sent}`, turns: 1, until, giveUpAt: until,
			serviceShare: 0,
			nonIdempotentShare: 0,
			// Equal inputs, whatever the request id.
			fixedText: `[[mark=${POISON_ALIAS}.t1.r1]] [[tokens=40]] ${POISON}`,
		});
		await sleep(PAUSE_MS);
	}

	return sent;
};

/** Starts crashed upstreams again, as their own supervisor would. */
const supervise = async ({cluster, recorder}: ProofContext, until: number): Promise<void> => {
	while (Date.now() < until) {
		for (const {id, upstream} of cluster.upstreams) {
			if (!upstream.isRunning()) {
				recorder.noteFault('crashed', id);
				await upstream.start();
			}
		}

		await sleep(SUPERVISE_EVERY_MS);
	}
};

const isPoison = (mark: string): boolean => mark.startsWith(POISON_ALIAS);

/** No other fault happens; the crash itself is the fault. */
export const crashingRequestPoint: Point<number> = {
	name: 'crashing-request',
	cluster: {
		entries: 3, engines: 4, services: 0, crashOn: POISON,
	},
	faultsPerSecond: 0,
	faultDurationMs: [0, 0],
	targets: () => ({}),
	async drive(context) {
		const until = Date.now() + (context.seconds * 1000);
		const [sent] = await Promise.all([
			sendPoison(context),
			supervise(context, until + 2000),
			drivePrograms(context, {
				programs: 6, turns: 10, serviceShare: 0, nonIdempotentShare: 0,
			}),
		]);
		return sent;
	},
	check: run => checkCrashingRequest(run, isPoison),
	isTelling: ({executions}, sent) => sent >= 3 && executions.some(({mark}) => isPoison(mark)),
};
