/**
Runs the endless load of `endless-upstreams.test.ts` for minutes and prints what was
measured: `npm run endless -- --minutes 2 --seed 1 --callers 200`.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {describeRound} from '../platform/src/__tests__/fakes/endless/describe-round.js';
import {listEndlessFaults} from '../platform/src/__tests__/fakes/endless/list-endless-faults.js';
import {runEndlessLoad} from '../platform/src/__tests__/fakes/endless/run-endless-load.js';

const MS_PER_MINUTE = 60_000;
const ROUND_MS = 15_000;
const EXAMPLES = 3;

const {values} = parseArgs({
	options: {
		minutes: {type: 'string', default: '2'},
		seed: {type: 'string', default: '1'},
		callers: {type: 'string', default: '200'},
	},
});

const run = await runEndlessLoad({
	seed: Number(values.seed),
	callers: Number(values.callers),
	roundMs: ROUND_MS,
	rounds: Math.max(2, Math.round(Number(values.minutes) * MS_PER_MINUTE / ROUND_MS)),
	onRound(round) {
		process.stdout.write(`${describeRound(round)}\n`);
	},
});
const faults = listEndlessFaults(run);
process.stdout.write(`holders ${run.holderPeaksMb.map(peakMb => peakMb?.toFixed(0) ?? 'ended').join(', ')} MB\n`);
for (const {check, messages} of faults) {
	process.stdout.write(`${check}: ${messages.length === 0 ? 'held' : `BROKEN ${messages.length} times, as ${messages.slice(0, EXAMPLES).join('; ')}`}\n`);
}

process.exitCode = faults.some(({messages}) => messages.length > 0) ? 1 : 0;
