/**
A program that spends its token budget over a minute and a half, while holders are
restarted as planned, one at a time. It must not get more tokens than its budget
and the most of one turn.
*/
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {buildConfig} from '../lib/build-config.es6';
import {runCase} from '../lib/run-case.es6';
import {sendTurn} from '../lib/send-turn.es6';

const PROGRAMS = 24;
/** Of the configuration, `tokensPerEvent`. */
const TOKENS_PER_EVENT = 3;
const EVENTS = 10;
const TURN_TOKENS = EVENTS * TOKENS_PER_EVENT;
const BUDGET = 8 * TURN_TOKENS;
const FIRST_TURNS = 7;
const LAST_TRIES = 9;
const GAP_MS = 5;
const MS_PER_S = 1000;
const ID_BYTES = 8;
/** From the end of a process to its next start, as the platform needs it. */
const RESTART_MS = 300;
/** `catchUpS` of the deployment and a little more. */
const CATCH_UP_MS = 4600;
/** Seconds since the first turns. */
const NEXT_TURN_S = 53;
const RESTART_S = 96;
const FINISH_IN_MS = 150_000;

const drawId = () => randomBytes(ID_BYTES).toString('hex');

await runCase({
	folder: process.cwd(),
	options: {
		config: buildConfig(),
		plan: () => ({events: EVENTS, gapMs: GAP_MS}),
		onRun() {/* Only the tokens that the callers get are judged. */},
	},
	async play({gateways, holders, log, hasTrouble, seconds}) {
		const [first, , third] = holders;
		const programs = Array.from({length: PROGRAMS}, (_, index) => ({id: drawId(), gateway: gateways[index % gateways.length], tokens: 0}));

		const sendOne = async program => {
			const id = drawId();
			const answer = await sendTurn({
				gateway: program.gateway, route: 'guide', id, program: program.id, body: `input ${id}`, tokens: `600,${TURN_TOKENS}`, budget: BUDGET, finishInMs: FINISH_IN_MS - (seconds() * MS_PER_S),
			});
			program.tokens += answer.events.length * TOKENS_PER_EVENT;
			log(`turn ${id} of program ${program.id}: status ${answer.status}, ${answer.events.length} events; ${program.tokens} tokens of a budget of ${BUDGET} handed out so far`);
			return answer.status;
		};

		const sendSeveral = async count => Promise.all(programs.map(async program => {
			for (let turn = 0; turn < count; turn++) {
				const status = await sendOne(program);
				if (status !== 200) {
					throw new Error('a turn that the budget holds was not answered');
				}
			}
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

		const startedAt = seconds();
		const waitUntil = async atS => delay(Math.max(0, (startedAt + atS - seconds()) * MS_PER_S));
		await restart(third, async () => sendSeveral(FIRST_TURNS));
		await waitUntil(NEXT_TURN_S);
		await restart(first, async () => sendSeveral(1));
		await waitUntil(RESTART_S);
		await restart(first);
		await delay(CATCH_UP_MS);
		await Promise.all(programs.map(async program => {
			for (let turn = 0; turn < LAST_TRIES; turn++) {
				await sendOne(program);
			}
		}));
		return programs
			.filter(({tokens}) => tokens > BUDGET + TURN_TOKENS)
			.map(({id, tokens}) => `BUDGET: program ${id} was handed ${tokens} tokens; its budget is ${BUDGET}, the most of one turn ${TURN_TOKENS}`);
	},
});
