/**
Schedules the calls of one upstream: admits, queues, starts and cancels them, and
reports how each ended. The registry remembers every grant. The answer of a call is
kept until its program proceeds, so that an entry that lost its connection, or
another entry after a crash, can attach again at any byte offset.
*/
import {Buffer} from 'node:buffer';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {activateRow} from '@siskinhub/core/decide/activate-row.js';
import type {AdmissionPolicy} from '@siskinhub/core/decide/admission-policy.js';
import {chargeRow} from '@siskinhub/core/decide/charge-row.js';
import type {QueuePolicy} from '@siskinhub/core/decide/queue-policy.js';
import type {QueueView} from '@siskinhub/core/decide/queue-view.js';
import type {ServiceTimeByRow} from '@siskinhub/core/decide/service-time-by-row.js';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {InstanceId} from '@siskinhub/core/ids/instance-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {GrantRegistry} from '@siskinhub/core/sidecar/grant-registry.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import {
	type DoneSchema, Fate, type Grant,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {buildLoad} from './build-load.js';
import {buildQueueView} from './build-queue-view.js';
import {buildRunRequest} from './build-run-request.js';
import {createRun} from './create-run.js';
import {createRunStore} from './create-run-store.js';
import {createRunStatistics} from './create-run-statistics.js';
import {buildDone} from './build-done.js';
import type {Run} from './run.js';
import type {RunObserver} from './run-observer.js';
import type {RunScheduler} from './run-scheduler.js';
import {sliceUtf8} from './slice-utf8.js';
import {buildAdmissionView} from './build-admission-view.js';
import type {UpstreamClient} from './upstream-client.js';

type Done = MessageInitShape<typeof DoneSchema>;

const WAITED_TOO_LONG_REASON = 'the call waited longer than its deadline allows';

type SchedulerOptions = {
	readonly upstream: UpstreamClient;
	readonly registry: GrantRegistry;
	readonly slots: number;
	/** Chooses the next call among the waiting ones. */
	readonly order: QueuePolicy;
	readonly admissionPolicy: AdmissionPolicy;
	/** The upstream's memory for prefixes (0 if unknown) and the size of the prefixes it last reported, in tokens. */
	readonly getMemory: () => {readonly memoryTokens: number; readonly heldTokens: number};
	/** False right after the process resumes from a pause, when callers may have given up on queued calls. */
	readonly canStart: () => boolean;
	readonly tracer: Tracer;
	/** Called when the upstream did not accept a run or crashed during it. */
	readonly onUpstreamFailure: () => void;
};

/** Creates a scheduler with an empty queue, which accepts calls. */
export const createRunScheduler = ({upstream, registry, slots, order, admissionPolicy, getMemory, canStart, tracer, onUpstreamFailure}: SchedulerOptions): RunScheduler => {
	const runs = createRunStore();
	const waiting: Run[] = [];
	const running = new Set<Run>();
	const statistics = createRunStatistics();
	const changeListeners: Array<() => void> = [];
	let rows: ServiceTimeByRow = new Map();
	let isAccepting = true;

	const notifyChange = () => {
		for (const listener of changeListeners) {
			listener();
		}
	};

	const finish = (run: Run, done: Done) => {
		run.state = 'done';
		run.endedAt = Date.now();
		run.done = done;
		for (const observer of run.observers) {
			observer.onDone(done);
		}

		run.observers.clear();
	};

	const refuseQueued = (run: Run, reason: string, fate = Fate.NOT_RUN) => {
		const index = waiting.indexOf(run);
		if (index !== -1) {
			waiting.splice(index, 1);
		}

		registry.markRefused(run.claim);
		runs.remove(run);
		finish(run, {fate, reason});
		notifyChange();
	};

	const getGrant = (run: Run): Grant => {
		if (!run.dispatch.grant) {
			throw new Error('a run has no grant, although submit() refuses a dispatch without one');
		}

		return run.dispatch.grant;
	};

	const readQueue = (): QueueView => buildQueueView({
		rows, slots, running, ...getMemory(),
	});

	const isExpired = ({queued: {startBy = Infinity}}: Run): boolean => Date.now() > startBy;

	const takeNext = (): Run | undefined => {
		const hasExclusiveRun = [...running].some(run => getGrant(run).runAlone);
		if (waiting.length === 0 || running.size >= slots || hasExclusiveRun || !canStart()) {
			return undefined;
		}

		const index = order(waiting.map(run => run.queued), readQueue(), Date.now());
		const run = waiting[index];
		if (!run || (getGrant(run).runAlone && running.size > 0)) {
			return undefined;
		}

		waiting.splice(index, 1);
		return run;
	};

	const appendText = (run: Run, text: string) => {
		const offset = BigInt(run.bytes);
		run.text += text;
		run.bytes += Buffer.byteLength(text);
		for (const observer of run.observers) {
			observer.onChunk({offset, text});
		}
	};

	const execute = async (run: Run) => {
		const grant = getGrant(run);
		const span = tracer.startSpan('sidecar.upstream', {traceparent: run.traceparent});
		const outcome = await upstream.run(buildRunRequest(run.dispatch, grant, span.traceparent), text => {
			appendText(run, text);
		}, run.controller.signal);
		span.end(outcome.kind === 'finished' ? 'ok' : outcome.kind);
		running.delete(run);
		const servedMs = Date.now() - run.startedAt;
		rows = chargeRow(rows, run.queued, servedMs);
		statistics.record(servedMs, outcome);
		if (outcome.kind === 'not-sent' || (outcome.kind === 'lost' && outcome.isCrash)) {
			onUpstreamFailure();
		}

		if (outcome.kind === 'not-sent') {
			registry.markRefused(run.claim);
		}

		finish(run, buildDone(run, grant, outcome));
		startQueuedRuns();
	};

	const startQueuedRuns = () => {
		for (let run = takeNext(); run; run = takeNext()) {
			const grant = getGrant(run);
			if (!registry.isCurrent(grant.shard as ShardId, Number(grant.epoch) as Epoch)) {
				refuseQueued(run, 'a later owner has spoken for the shard');
				continue;
			}

			if (isExpired(run)) {
				refuseQueued(run, WAITED_TOO_LONG_REASON);
				continue;
			}

			run.state = 'running';
			run.startedAt = Date.now();
			run.ranAlone = grant.runAlone;
			running.add(run);
			void execute(run);
		}

		notifyChange();
	};

	const checkAdmission = (grant: Grant) => admissionPolicy(buildAdmissionView(grant, {
		waiting, running, slots, callMs: statistics.callMs(), programMs: statistics.programMs(),
	}));

	const attach = (run: Run, observer: RunObserver, offset: number) => {
		delete run.abandonedAt;
		const missing = sliceUtf8(run.text, offset);
		if (missing.text !== '') {
			observer.onChunk({offset: BigInt(missing.offset), text: missing.text});
		}

		if (run.done) {
			observer.onDone(run.done);
		} else {
			run.observers.add(observer);
		}
	};

	/** Reports the progress and end of a known call, without starting or refusing one. */
	const observe = (grant: Grant, offset: number, observer: RunObserver) => {
		const run = runs.get(grant.claim as ClaimId);
		if (run) {
			attach(run, {
				onChunk: observer.onChunk,
				onDone(done) {
					observer.onDone({...done, input: run.dispatch.input});
				},
			}, offset);
		} else {
			observer.onDone({fate: Fate.UNKNOWN, reason: 'this sidecar has no such call'});
		}
	};

	const submit: RunScheduler['submit'] = (dispatch, observer, traceparent) => {
		const {grant} = dispatch;
		if (!grant) {
			observer.onDone({fate: Fate.NOT_RUN, reason: 'the dispatch carries no grant'});
			return;
		}

		if (dispatch.observe) {
			observe(grant, Number(dispatch.offset), observer);
			return;
		}

		const load = checkAdmission(grant);
		const admitted = registry.admit({
			claim: grant.claim as ClaimId,
			shard: grant.shard as ShardId,
			epoch: Number(grant.epoch) as Epoch,
			claimEpoch: Number(grant.claimEpoch) as Epoch,
			sequence: Number(grant.sequence),
			sidecarInstance: grant.sidecarInstance as InstanceId,
			attachOnly: grant.attachOnly,
		}, isAccepting && load.isOk());
		switch (admitted.kind) {
			case 'run': {
				const run = createRun(dispatch, grant, traceparent);
				runs.add(run);
				statistics.recordArrival(run.queued.attainedMs);
				rows = activateRow(rows, run.queued, waiting.map(other => other.queued));
				waiting.push(run);
				run.observers.add(observer);
				startQueuedRuns();
				break;
			}

			case 'attach': {
				const run = runs.get(grant.claim as ClaimId);
				if (run) {
					attach(run, observer, Number(dispatch.offset));
				} else {
					observer.onDone({fate: grant.idempotent ? Fate.FAILED : Fate.UNKNOWN, reason: 'the call ran and its answer is no longer kept'});
				}

				break;
			}

			case 'refuse': {
				const refusal = load.isErr() ? load.error : undefined;
				observer.onDone({fate: Fate.NOT_RUN, reason: refusal?.message ?? admitted.reason, retryAfterMs: refusal?.retryAfterMs ?? 0});
				break;
			}

			case 'unknown': {
				observer.onDone({fate: Fate.UNKNOWN, reason: admitted.reason});
				break;
			}
		}
	};

	const cancel = (run: Run, reason: string, fate?: Fate) => {
		if (run.state === 'queued') {
			refuseQueued(run, reason, fate);
		} else if (run.state === 'running') {
			run.controller.abort();
		}
	};

	return {
		submit,
		detach(claim, observer) {
			const run = runs.get(claim);
			if (!run) {
				return;
			}

			run.observers.delete(observer);
			if (run.observers.size === 0 && run.state === 'queued') {
				refuseQueued(run, 'the entry that asked for it is gone');
			} else if (run.observers.size === 0) {
				run.abandonedAt = Date.now();
			}
		},
		cancel(claim) {
			const run = runs.get(claim);
			if (run) {
				cancel(run, 'the call was cancelled before it started');
			}
		},
		forgetProgram(program) {
			runs.forgetProgram(program);
		},
		sweep() {
			for (const run of runs.sweep(Date.now())) {
				// A non-idempotent call runs to its end, because cancelling it would leave its effect unknown.
				if (getGrant(run).idempotent) {
					run.controller.abort();
				}
			}
		},
		stopAccepting() {
			isAccepting = false;
		},
		isAccepting: () => isAccepting,
		dropExpired() {
			for (const run of waiting.filter(queued => isExpired(queued))) {
				refuseQueued(run, WAITED_TOO_LONG_REASON);
			}
		},
		dropQueued(reason) {
			// Refusing a call removes it from the queue.
			for (let [run] = waiting; run; [run] = waiting) {
				refuseQueued(run, reason);
			}
		},
		openRuns: () => waiting.length + running.size,
		describeLoad: () => buildLoad(readQueue(), waiting, statistics),
		activePrograms: () => new Set([...waiting, ...running].map(run => run.program)),
		onChange(listener) {
			changeListeners.push(listener);
		},
	};
};
