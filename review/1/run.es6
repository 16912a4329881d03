/**
Lines of turns whose system keeps what was said: each turn is sent less than
`retentionS` after the one before it, while the holders are restarted as planned,
one at a time. Each turn must find its chain.
*/
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {buildConfig} from '../lib/build-config.es6';
import {runCase} from '../lib/run-case.es6';
import {sendTurn} from '../lib/send-turn.es6';

const LINES = 6;
const FIRST_TURNS = 10;
const EVENTS = 5;
const GAP_MS = 20;
const MS_PER_S = 1000;
const ID_BYTES = 8;
/** From the stop of a process to its next start, as the platform needs it. */
const RESTART_MS = 300;
/** `catchUpS` of the deployment and a little more. */
const CATCH_UP_MS = 4500;
/** Seconds since the first turns. */
const SECOND_TURNS_S = 5.5;
const THIRD_TURNS_S = 53;
const LAST_RESTARTS_S = 96;
/** `settleWindowMs` after the last restart, and a little more. */
const SETTLED_MS = 3300;
const TRIES = 6;
const RETRY_MS = 350;
/** Of the route, in seconds. */
const RETENTION_S = 60;
const FINISH_IN_MS = 150_000;

const drawId = () => randomBytes(ID_BYTES).toString('hex');

const reached = new Set();

await runCase({
	folder: process.cwd(),
	options: {
		config: buildConfig(),
		plan: () => ({events: EVENTS, gapMs: GAP_MS}),
		onRun({id}) {
			reached.add(id);
		},
	},
	async play({gateways, holders, log, hasTrouble, seconds}) {
		const lines = Array.from({length: LINES}, (_, index) => ({
			program: drawId(), gateway: gateways[index % gateways.length], previous: undefined, answeredAt: 0,
		}));

		const sendOne = async (line, name) => {
			const id = drawId();
			const {program, previous, gateway} = line;
			const answer = await sendTurn({
				gateway, route: 'kept', id, program, previous, body: `${name} of ${program};`, finishInMs: FINISH_IN_MS - (seconds() * MS_PER_S),
			});
			const isWhole = answer.status === 200 && answer.isComplete && answer.events.length === EVENTS;
			log(`${name} ${id} of line ${program}, after ${previous ?? 'none'}: status ${answer.status}, ${isWhole ? 'whole' : 'not whole'}, reached ${reached.has(id) ? 'a' : 'no'} worker`);
			return {
				id, isWhole, status: answer.status, hasReached: reached.has(id),
			};
		};

		/** Sends the next turn of all lines; each must be answered whole. */
		const sendAll = async name => Promise.all(lines.map(async line => {
			const turn = await sendOne(line, name);
			if (!turn.isWhole) {
				throw new Error(`the ${name} was not answered whole`);
			}

			line.previous = turn.id;
			line.answeredAt = seconds();
		}));

		/** A planned restart of one holder, during which `work` is done. */
		const restart = async (holder, work) => {
			if (hasTrouble) {
				await holder.send('SIGTERM');
			}

			await work?.();
			await delay(RESTART_MS);
			if (hasTrouble) {
				holder.start();
			}
		};

		const [first, second, third] = holders;
		const startedAt = seconds();
		const waitUntil = async atS => delay(Math.max(0, (startedAt + atS - seconds()) * MS_PER_S));
		await restart(third, async () => sendAll('turn 1'));
		await waitUntil(SECOND_TURNS_S);
		await restart(first, async () => sendAll('turn 2'));
		await waitUntil(THIRD_TURNS_S);
		await restart(second, async () => sendAll('turn 3'));
		await waitUntil(LAST_RESTARTS_S - (CATCH_UP_MS / MS_PER_S));
		await restart(first);
		await waitUntil(LAST_RESTARTS_S);
		await restart(second);
		await delay(SETTLED_MS);

		const broken = [];
		await Promise.all(lines.map(async line => {
			const tries = [];
			while (tries.length < TRIES && seconds() - line.answeredAt < RETENTION_S && !tries.at(-1)?.isWhole) {
				tries.push(await sendOne(line, 'turn 4'));
				await delay(RETRY_MS);
			}

			const isUnknown = tries.some(({status}) => status === 404 || status === 410);
			if (isUnknown || (tries.length >= TRIES - 1 && tries.every(({hasReached}) => !hasReached))) {
				const ageS = Math.round(seconds() - line.answeredAt);
				const statuses = tries.map(({status}) => status).join(', ');
				broken.push(`LOST: the turn after ${line.previous}, answered whole ${ageS} s ago, got ${statuses} and reached no worker in ${tries.length} tries`);
			}
		}));
		const controls = await Promise.all(Array.from({length: FIRST_TURNS}, async (_, index) => sendOne({program: drawId(), gateway: gateways[index % gateways.length]}, 'first turn')));
		const served = controls.filter(({hasReached}) => hasReached).length;
		log(`${served} of ${FIRST_TURNS} first turns reached a worker`);
		if (served < FIRST_TURNS * 0.9) {
			throw new Error('too few first turns reach a worker');
		}

		return broken;
	},
});
