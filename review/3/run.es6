/**
A route whose streams may be resumed and whose turns are kept. The gateway of a
caller is killed in the middle of a turn; the caller takes the stream up at another
gateway, has all of it, and goes on with the next turn.
*/
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {buildConfig} from '../lib/build-config.es6';
import {runCase} from '../lib/run-case.es6';
import {sendTurn} from '../lib/send-turn.es6';

const LINES = 4;
const EVENTS = 11;
const GAP_MS = 150;
/** The gateway is killed once every caller has so many. */
const EVENTS_BEFORE_KILL = 4;
const MAX_WAIT_MS = 4000;
const CHECK_INTERVAL_MS = 20;
const RESUME_AFTER_MS = 200;
/** `settleWindowMs`, and a little more. */
const SETTLED_MS = 3300;
const ID_BYTES = 8;

const drawId = () => randomBytes(ID_BYTES).toString('hex');

const bodies = new Map();

await runCase({
	folder: process.cwd(),
	options: {
		config: buildConfig({kept: {resumable: true}}),
		plan: () => ({events: EVENTS, gapMs: GAP_MS}),
		onRun({id, body}) {
			bodies.set(id, body);
		},
	},
	async play({gateways, log, hasTrouble}) {
		const [gateway, other] = gateways;
		const texts = new Map();

		/** Sends a turn, and once more from its last event on if it breaks off. */
		const converse = async line => {
			const {program, previous, body} = line;
			const id = drawId();
			const answer = await sendTurn({
				gateway: line.gateway, route: 'kept', id, program, previous, body, onText(text) {
					texts.set(program, text);
				},
			});
			log(`${id} of ${program}: status ${answer.status}, events ${answer.events.map(event => event.id).join(' ')}, ${answer.isComplete ? 'complete' : 'broken off'}`);
			if (answer.isComplete) {
				return {id, status: answer.status, events: answer.events};
			}

			await delay(RESUME_AFTER_MS);
			const next = drawId();
			const lastEventId = answer.events.at(-1)?.id;
			const rest = await sendTurn({
				gateway: other, route: 'kept', id: next, program, previous, body, lastEventId, resumes: id,
			});
			const numbers = rest.events.map(event => event.id).join(' ');
			log(`${next} of ${program}, from Last-Event-Id ${lastEventId}: status ${rest.status}, events ${numbers}, ${rest.isComplete ? 'complete' : 'broken off'}`);
			return {id: next, status: rest.status, events: [...answer.events, ...rest.events]};
		};

		const lines = Array.from({length: LINES}, () => ({gateway, program: drawId()}));
		const firstTurns = Promise.all(lines.map(async line => converse({...line, body: `first input of ${line.program};`})));
		const haveEnough = () => texts.size === LINES && [...texts.values()].every(text => text.split('\n\n').length > EVENTS_BEFORE_KILL);
		for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && !haveEnough(); waitedMs += CHECK_INTERVAL_MS) {
			await delay(CHECK_INTERVAL_MS);
		}

		if (hasTrouble) {
			await gateway.send('SIGKILL');
		}

		const first = await firstTurns;
		if (first.some(({status, events}) => status !== 200 || events.length !== EVENTS || events.some(({id}, index) => id !== index + 1))) {
			throw new Error('the callers do not have all events of the first turn, so there is nothing to judge');
		}

		await delay(SETTLED_MS);
		const broken = [];
		await Promise.all(lines.map(async ({program}, index) => {
			const {id: previous, events} = first[index];
			const body = `second input of ${program};`;
			const turn = await converse({
				gateway: other, program, previous, body,
			});
			const expected = `first input of ${program};${events.map(({data}) => `${data}\n`).join('')}${body}`;
			const ran = bodies.get(turn.id);
			log(`${turn.id} should run with ${JSON.stringify(expected)}`);
			log(`${turn.id} ran with ${JSON.stringify(ran)}`);
			if (ran !== undefined && ran !== expected) {
				broken.push(`UNASKED: ${turn.id} ran with a body that isn't the chain's inputs and outputs and then the new input`);
			}
		}));
		return broken;
	},
});
