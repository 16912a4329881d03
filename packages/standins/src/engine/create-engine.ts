/**
The engine stand-in without its HTTP routes: runs, batch, cache, faults and
records.
*/
import {Buffer} from 'node:buffer';
import {openAppendLog} from '../open-append-log.js';
import {createBatch} from './create-batch.js';
import {createCacheEventFeed} from './create-cache-event-feed.js';
import {createFence} from './create-fence.js';
import {createPrefixCache} from './create-prefix-cache.js';
import type {EngineOptions} from './engine-options.js';
import {mergeRunRecords} from './merge-run-records.js';
import type {ResolvedFaults} from './resolved-faults.js';
import type {RunFate} from './run-fate.js';
import type {RunRecord} from './run-record.js';
import type {EngineRun} from './engine-run.js';

// A client can resume the stream of a run for this long after the run ended.
const RESUME_WINDOW_MS = 60_000;
const DEFAULT_LAG_MS = 200;

const createInitialFaults = (options: EngineOptions): ResolvedFaults => ({
	tokenDelayMs: options.tokenDelayMs,
	crashOn: options.crashOn ?? '',
	slowFactor: 1,
	dropCacheEvents: 0,
	lagMs: DEFAULT_LAG_MS,
	cutStreamAt: -1,
});

/** Creates an idle engine. Runs that an earlier process began but did not end, according to the records file, count as lost. */
export const createEngine = (options: EngineOptions) => {
	const faults = createInitialFaults(options);
	const feed = createCacheEventFeed(faults);
	const log = openAppendLog<RunRecord>(options.recordsFile);
	const runs = new Map<string, EngineRun>();
	const earlierRuns = new Set(log.items.map(({run}) => run));

	const settle = (run: EngineRun, fate: RunFate): void => {
		run.fate = fate;
		const {record, generatedTokens} = run;
		cache.store(record.group, record.promptTokens + generatedTokens);
		log.add({
			...record, outputTokens: generatedTokens, endedAt: Date.now(), fate,
		});
		setTimeout(() => runs.get(record.requestId) === run && runs.delete(record.requestId), RESUME_WINDOW_MS).unref();
	};

	const notifyListeners = (run: EngineRun): void => {
		for (const listener of run.listeners) {
			listener();
		}
	};

	const advance = (run: EngineRun, count: number): boolean => {
		const next = run.tokens.slice(run.generatedTokens, run.generatedTokens + count);
		run.generatedTokens += next.length;
		run.output = Buffer.concat([run.output, Buffer.from(next.join(''))]);
		if (run.crashes && run.generatedTokens * 2 >= run.tokens.length) {
			options.crash();
			return false;
		}

		if (run.generatedTokens === run.tokens.length) {
			settle(run, run.finish);
		}

		notifyListeners(run);
		return run.fate === 'running';
	};

	const batch = createBatch(options.slots, () => faults.tokenDelayMs * faults.slowFactor, advance);
	const cache = createPrefixCache(options.cacheTokens, batch.has, feed.publish);

	return {
		options,
		faults,
		feed,
		batch,
		cache,
		fence: createFence(options.checksFencing),
		runs,
		start(run: EngineRun) {
			runs.set(run.record.requestId, run);
			log.add(run.record);
			batch.add(run);
		},
		cancel(run: EngineRun) {
			if (run.fate === 'running') {
				batch.remove(run);
				settle(run, 'cancelled');
				notifyListeners(run);
			}
		},
		records: () => mergeRunRecords(log.items, earlierRuns),
	};
};
