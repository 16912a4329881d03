/**
Streams whose answers have no length are on their way through a gateway that is
killed. Their callers must not take what they have for the whole stream.
*/
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {buildConfig} from '../lib/build-config.es6';
import {runCase} from '../lib/run-case.es6';
import {sendTurn} from '../lib/send-turn.es6';

const EVENTS = 11;
const GAP_MS = 150;
const STREAMS = 8;
/** The gateway is killed once every caller has so many. */
const EVENTS_BEFORE_KILL = 4;
const MAX_WAIT_MS = 4000;
const CHECK_INTERVAL_MS = 20;
const ID_BYTES = 8;

const drawId = () => randomBytes(ID_BYTES).toString('hex');

await runCase({
	folder: process.cwd(),
	options: {
		config: buildConfig(),
		// Every second stream has no length.
		plan: call => ({events: EVENTS, gapMs: GAP_MS, isUnframed: call.body.endsWith('without length')}),
		onRun() {/* What the workers run is not judged here. */},
	},
	async play({gateways, log, hasTrouble}) {
		const [gateway] = gateways;
		const texts = new Map();
		const sending = Array.from({length: STREAMS}, async (_, index) => {
			const kind = index % 2 === 0 ? 'without length' : 'in chunks';
			const id = drawId();
			const answer = await sendTurn({
				gateway, route: index % 4 < 2 ? 'kept' : 'guide', id, program: drawId(), body: `question ${id}, answered ${kind}`, onText(text) {
					texts.set(id, text);
				},
			});
			log(`${id}, answered ${kind}: status ${answer.status}, ${answer.events.length} of ${EVENTS} events, ${answer.isComplete ? 'ended as complete' : 'broken off'}`);
			return {id, kind, ...answer};
		});
		const haveEnough = () => texts.size === STREAMS && [...texts.values()].every(text => text.split('\n\n').length > EVENTS_BEFORE_KILL);
		for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && !haveEnough(); waitedMs += CHECK_INTERVAL_MS) {
			await delay(CHECK_INTERVAL_MS);
		}

		if (hasTrouble) {
			await gateway.send('SIGKILL');
		}

		const answers = await Promise.all(sending);
		return answers
			.filter(({status, isComplete, events}) => status === 200 && isComplete && events.length < EVENTS)
			.map(({id, events}) => `ORDER, MIXED: ${id} is a success that ended as complete after ${events.length} of ${EVENTS} events`);
	},
});
