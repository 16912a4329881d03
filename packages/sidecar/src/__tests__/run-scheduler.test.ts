import {create} from '@bufbuild/protobuf';
import {
	expect, onTestFinished, test, vi,
} from 'vitest';
import {admitEveryCall} from '@siskinhub/core/decide/admit-every-call.js';
import {chooseEarliestQueuedCall} from '@siskinhub/core/decide/choose-earliest-queued-call.js';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {InstanceId} from '@siskinhub/core/ids/instance-id.js';
import {createGrantRegistry} from '@siskinhub/core/sidecar/create-grant-registry.js';
import {DispatchSchema, Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createRunScheduler} from '../create-run-scheduler.js';
import type {RunObserver} from '../run-observer.js';
import type {RunOutcome} from '../run-outcome.js';
import type {UpstreamClient} from '../upstream-client.js';

const INSTANCE = 'sidecar-1' as InstanceId;
const SLOTS = 2;
const FINISHED: RunOutcome = {
	kind: 'finished', promptTokens: 1, outputTokens: 1, finish: 'stop',
};

/** Creates an upstream whose runs end when the test calls `end`. */
const createUpstream = () => {
	const started: string[] = [];
	const running = new Map<string, {onText: (text: string) => void; end: (outcome: RunOutcome) => void}>();
	const client: UpstreamClient = {
		run: async (request, onText) => new Promise(resolve => {
			started.push(request.runId);
			running.set(request.runId, {
				onText,
				end(outcome) {
					running.delete(request.runId);
					resolve(outcome);
				},
			});
		}),
		probe: async () => true,
		releasePrefix: async () => true,
		listPrefixes: async () => [],
	};
	return {client, started, running};
};

const settle = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

const createScheduler = (canStart = () => true) => {
	const upstream = createUpstream();
	const scheduler = createRunScheduler({
		upstream: upstream.client,
		registry: createGrantRegistry({instance: INSTANCE, maxRecords: 100}),
		slots: SLOTS,
		order: chooseEarliestQueuedCall,
		admissionPolicy: admitEveryCall,
		getMemory: () => ({memoryTokens: 0, heldTokens: 0}),
		canStart,
		tracer: {
			startSpan: () => ({end() {/* Not traced. */}}),
			async close() {/* Nothing is open. */},
		},
		onUpstreamFailure() {/* Not checked. */},
	});
	return {scheduler, upstream};
};

const createDispatch = (id: number, fields: {runAlone?: boolean; idempotent?: boolean; startWithinMs?: number} = {}) => create(DispatchSchema, {
	grant: {
		claim: `c${id}`, shard: 1, epoch: 1n, sequence: BigInt(id), program: `p1-${id}`, turn: 1, requestId: `r${id}`, sidecarInstance: INSTANCE, weight: 1, ...fields,
	},
	input: '"input"',
});

const observe = () => {
	const seen = {text: '', fate: undefined as Fate | undefined, isDone: false};
	const observer: RunObserver = {
		onChunk({text = ''}) {
			seen.text += text;
		},
		onDone({fate = Fate.UNSPECIFIED}) {
			seen.fate = fate;
			seen.isDone = true;
		},
	};
	return {seen, observer};
};

test('no more calls run than the upstream has slots', async () => {
	const {scheduler, upstream} = createScheduler();
	for (let id = 1; id <= 5; id++) {
		scheduler.submit(createDispatch(id), observe().observer, '');
	}

	await settle();
	expect(upstream.started).toEqual(['p1-1.r1', 'p1-2.r2']);
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(upstream.started).toEqual(['p1-1.r1', 'p1-2.r2', 'p1-3.r3']);
});

test('a queued call whose last observer detached never runs, even if its grant is submitted again', async () => {
	const {scheduler, upstream} = createScheduler();
	scheduler.submit(createDispatch(1), observe().observer, '');
	scheduler.submit(createDispatch(2), observe().observer, '');
	const third = observe();
	scheduler.submit(createDispatch(3), third.observer, '');
	scheduler.detach('c3' as ClaimId, third.observer);
	const again = observe();
	scheduler.submit(createDispatch(3), again.observer, '');
	expect(again.seen.fate).toBe(Fate.NOT_RUN);
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(upstream.started).not.toContain('p1-3.r3');
});

test('a grant submitted twice runs once and both observers receive the whole answer', async () => {
	const {scheduler, upstream} = createScheduler();
	const first = observe();
	scheduler.submit(createDispatch(1), first.observer, '');
	await settle();
	upstream.running.get('p1-1.r1')?.onText('braided ');
	const second = observe();
	scheduler.submit(createDispatch(1), second.observer, '');
	upstream.running.get('p1-1.r1')?.onText('rope');
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(upstream.started).toHaveLength(1);
	expect([first.seen.text, second.seen.text]).toEqual(['braided rope', 'braided rope']);
	expect(second.seen.isDone).toBe(true);
});

test('a call whose grant asks to run alone shares the upstream with no other call', async () => {
	const {scheduler, upstream} = createScheduler();
	scheduler.submit(createDispatch(1), observe().observer, '');
	scheduler.submit(createDispatch(2, {runAlone: true}), observe().observer, '');
	scheduler.submit(createDispatch(3), observe().observer, '');
	await settle();
	expect(upstream.started).toEqual(['p1-1.r1']);
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(upstream.started).toEqual(['p1-1.r1', 'p1-2.r2']);
	upstream.running.get('p1-2.r2')?.end(FINISHED);
	await settle();
	expect(upstream.started).toEqual(['p1-1.r1', 'p1-2.r2', 'p1-3.r3']);
});

test('no call starts while the process resumes from a pause', async () => {
	let isWaking = false;
	const {scheduler, upstream} = createScheduler(() => !isWaking);
	scheduler.submit(createDispatch(1), observe().observer, '');
	scheduler.submit(createDispatch(2), observe().observer, '');
	const third = observe();
	scheduler.submit(createDispatch(3), third.observer, '');
	await settle();
	isWaking = true;
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(upstream.started).toHaveLength(SLOTS);
	scheduler.dropQueued('the sidecar was paused');
	expect(third.seen.fate).toBe(Fate.NOT_RUN);
});

test('every queued call is refused when the queue is dropped, however many wait', async () => {
	const {scheduler, upstream} = createScheduler(() => false);
	const calls = Array.from({length: 6}, (_, index) => {
		const call = observe();
		scheduler.submit(createDispatch(index + 1), call.observer, '');
		return call;
	});
	scheduler.dropQueued('the sidecar was paused');
	expect(calls.map(({seen}) => seen.fate)).toEqual(calls.map(() => Fate.NOT_RUN));
	expect(scheduler.openRuns()).toBe(0);
	expect(upstream.started).toEqual([]);
});

test('a lost run is failed if its call is idempotent and unknown otherwise', async () => {
	const {scheduler, upstream} = createScheduler();
	const repeatable = observe();
	const once = observe();
	scheduler.submit(createDispatch(1, {idempotent: true}), repeatable.observer, '');
	scheduler.submit(createDispatch(2), once.observer, '');
	await settle();
	for (const run of upstream.running.values()) {
		run.end({kind: 'lost', reason: 'cut', isCrash: true});
	}

	await settle();
	expect([repeatable.seen.fate, once.seen.fate]).toEqual([Fate.FAILED, Fate.UNKNOWN]);
});

test('after stopAccepting new calls are refused and running calls finish', async () => {
	const {scheduler, upstream} = createScheduler();
	const running = observe();
	scheduler.submit(createDispatch(1), running.observer, '');
	scheduler.stopAccepting();
	const late = observe();
	scheduler.submit(createDispatch(2), late.observer, '');
	expect(late.seen.fate).toBe(Fate.NOT_RUN);
	await settle();
	upstream.running.get('p1-1.r1')?.end(FINISHED);
	await settle();
	expect(running.seen.fate).toBe(Fate.UNSPECIFIED);
	expect(scheduler.openRuns()).toBe(0);
});

test('a call that waits longer than its deadline is refused in the queue and never runs', async () => {
	vi.useFakeTimers();
	onTestFinished(() => {
		vi.useRealTimers();
	});
	const {scheduler, upstream} = createScheduler();
	scheduler.submit(createDispatch(1), observe().observer, '');
	scheduler.submit(createDispatch(2), observe().observer, '');
	const third = observe();
	scheduler.submit(createDispatch(3, {startWithinMs: 1000}), third.observer, '');
	vi.advanceTimersByTime(900);
	scheduler.dropExpired();
	expect(third.seen.isDone).toBe(false);
	vi.advanceTimersByTime(200);
	scheduler.dropExpired();
	expect(third.seen.fate).toBe(Fate.NOT_RUN);
	expect(upstream.started).toHaveLength(SLOTS);
});
