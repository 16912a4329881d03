/**
The simulated sidecar: admits calls into the queue of one engine, starts them in
the policy's order, applies its retention to idle prefixes and reports the load.
*/
import {activateRow} from '@siskinhub/core/decide/activate-row.js';
import {chargeRow} from '@siskinhub/core/decide/charge-row.js';
import type {IdlePrefix} from '@siskinhub/core/decide/idle-prefix.js';
import type {ServiceTimeByRow} from '@siskinhub/core/decide/service-time-by-row.js';
import type {AdmissionPolicy} from '@siskinhub/core/decide/admission-policy.js';
import type {QueueView} from '@siskinhub/core/decide/queue-view.js';
import type {QueuedCall} from '@siskinhub/core/decide/queued-call.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {LoadReport} from './load-report.js';
import {SpeedEstimator} from './speed-estimator.js';
import type {Policy} from './policy.js';
import type {SimCall} from './sim-call.js';
import type {SimEngine} from './sim-engine.js';
import type {VirtualClock} from './virtual-clock.js';

type AttemptEnd = 'done' | 'failed' | 'not-run' | 'expired';

type SidecarConfig = {
	readonly id: UpstreamId;
	readonly dataCentre: string;
	readonly engine: SimEngine;
	readonly clock: VirtualClock;
	readonly policy: Policy;
	readonly onEnd: (call: SimCall, end: AttemptEnd) => void;
	readonly onServed: (call: SimCall, slotMs: number) => void;
	readonly onRelease: (call: SimCall) => void;
	/** Whether sub-agents of the program run. */
	readonly hasAgents: (program: ProgramId) => boolean;
	readonly medianPauseMs: number;
	/** Moving average of the slot time of a program. */
	readonly meanProgramMs: () => number;
	/** Expected slot time of a call before any was measured. */
	readonly typicalCallMs: number;
};

type WaitingCall = QueuedCall & {readonly call: SimCall};

export class SimSidecar {
	/** Whether the hub can reach the host. */
	isReachable = true;
	/** Calls on an unreachable host; the hub learns of their failure when it notices the host's silence. */
	readonly lost: SimCall[] = [];
	#waiting: WaitingCall[] = [];
	#rows: ServiceTimeByRow = new Map();
	/** Whether the engine is reserved for a call that must run alone. */
	#isRunningAlone = false;
	readonly #speed: SpeedEstimator;

	constructor(private readonly cfg: SidecarConfig) {
		this.#speed = new SpeedEstimator(cfg.typicalCallMs, cfg.engine.spec.tokenMs);
	}

	get id(): UpstreamId {
		return this.cfg.id;
	}

	get dataCentre(): string {
		return this.cfg.dataCentre;
	}

	get engine(): SimEngine {
		return this.cfg.engine;
	}

	/** Queues the call or returns the policy's refusal. */
	enqueue(call: SimCall): ReturnType<AdmissionPolicy> {
		const admitted = this.cfg.policy.admit(this.#createAdmissionView(call));
		return admitted.map(() => {
			const {row, weight, priority} = call.root.row;
			const queued = {
				call,
				row,
				weight,
				priority,
				startsProgram: call.startsProgram,
				missingTokens: this.#countMissingTokens(call),
				queuedAt: this.cfg.clock.now,
				programStartedAt: call.root.startedAt,
				attainedMs: call.root.attainedMs,
			};
			this.#rows = activateRow(this.#rows, queued, this.#waiting);
			this.#waiting.push(queued);
			this.cfg.clock.schedule(this.#computeRemainingMs(call), () => {
				this.#expire(queued);
			});
			this.dispatch();
			return undefined;
		});
	}

	/** Starts queued calls in the policy's order, as long as slots and memory allow. */
	dispatch(): void {
		while (this.isReachable && !this.#isRunningAlone && this.#waiting.length > 0 && this.engine.runs.size < this.engine.spec.slots) {
			const index = this.cfg.policy.order(this.#waiting, this.#createQueueView(), this.cfg.clock.now);
			const next = this.#waiting[index];
			if (!next) {
				return;
			}

			const isAlone = this.cfg.policy.isolate(next.call.crashes) === 'alone';
			if ((isAlone && this.engine.runs.size > 0) || !this.#start(next, isAlone)) {
				return;
			}

			this.#waiting.splice(index, 1);
			this.#isRunningAlone = isAlone;
		}
	}

	/** Ends all queued and running calls. If the host is unreachable, their ends stay unknown until its silence is noticed. */
	fail(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		this.engine.crash();
		for (const {call} of waiting) {
			this.#reportFailure(call, 'not-run');
		}
	}

	report(): LoadReport {
		this.#speed.recordTokenTimes([...this.engine.runs].map(run => run.tokenMs), this.cfg.clock.now);
		return {
			running: this.engine.runs.size,
			queued: this.#waiting.length,
			queuedStarts: this.#waiting.filter(waiting => waiting.startsProgram).length,
			usedTokens: this.engine.memory.used,
			callMs: this.#speed.callMs,
			tokenMs: this.#speed.tokenMs(this.cfg.clock.now),
			takenAt: this.cfg.clock.now,
		};
	}

	/** Releases the prefix of an ended program if the policy keeps it for no longer. */
	endProgram(call: Pick<SimCall, 'program'>): void {
		if (this.#decideRetention({ended: true}) === 0) {
			this.engine.memory.release(call.program, this.cfg.clock.now);
			this.dispatch();
		}
	}

	#countMissingTokens(call: SimCall): number {
		return Math.max(0, call.promptTokens + call.expectedOutputTokens - this.engine.memory.held(call.program));
	}

	#createQueueView(): QueueView {
		const {memory} = this.engine;
		return {
			rows: this.#rows, slots: this.engine.spec.slots, running: this.engine.runs.size, memoryTokens: memory.capacity, freeTokens: memory.capacity - memory.used,
		};
	}

	/** Starts the call and charges its row with the estimated slot time, which is corrected at the end. */
	#start(next: WaitingCall, isAlone: boolean): boolean {
		const {call} = next;
		const estimateMs = this.#speed.callMs;
		const started = this.engine.start(call, (end, slotMs) => {
			this.#rows = chargeRow(this.#rows, next, slotMs - estimateMs);
			this.#isRunningAlone &&= !isAlone;
			this.#handleRunEnd(call, end, slotMs);
		});
		if (started) {
			this.#rows = chargeRow(this.#rows, next, estimateMs);
		}

		return started;
	}

	#handleRunEnd(call: SimCall, end: 'done' | 'crashed' | 'crashed-alone', slotMs: number): void {
		call.root.attainedMs += slotMs;
		this.cfg.onServed(call, slotMs);
		if (end !== 'done') {
			this.#recordCrash(call, end === 'crashed-alone');
			this.#reportFailure(call, 'failed');
			return;
		}

		this.#speed.recordCall(slotMs);
		this.#applyRetention(call);
		this.cfg.onEnd(call, 'done');
		this.dispatch();
	}

	/** Counts the crash against the call, except on an unreachable host: it leaves no record of which calls ran together. */
	#recordCrash(call: SimCall, isAlone: boolean): void {
		if (this.isReachable) {
			call.crashes[isAlone ? 'alone' : 'shared']++;
		}
	}

	#reportFailure(call: SimCall, end: 'failed' | 'not-run'): void {
		if (this.isReachable) {
			this.cfg.onEnd(call, end);
		} else {
			this.lost.push(call);
		}
	}

	/** Keeps or releases the call's idle prefix; decides again when the time for which it is kept has passed, unless it was used since. */
	#applyRetention(call: SimCall, expired = false): void {
		const {memory} = this.engine;
		const group = memory.groups.get(call.program);
		const keepMs = this.#decideRetention({prefixTokens: group?.tokens ?? 0, isExpired: expired, isReuseCertain: expired && (this.#isWaiting(call.program) || this.cfg.hasAgents(call.program))});
		if (!group || !Number.isFinite(keepMs)) {
			return;
		}

		if (keepMs === 0) {
			memory.release(call.program, this.cfg.clock.now);
			this.cfg.onRelease(call);
			this.dispatch();
			return;
		}

		const {idleSince} = group;
		this.cfg.clock.schedule(keepMs, () => {
			if (memory.groups.get(call.program) === group && group.idleSince === idleSince && !group.isPinned) {
				this.#applyRetention(call, true);
			}
		});
	}

	#isWaiting(program: ProgramId): boolean {
		return this.#waiting.some(waiting => waiting.call.program === program);
	}

	#decideRetention(prefix: Partial<IdlePrefix>): number {
		const {memory, spec} = this.engine;
		return this.cfg.policy.retain({
			prefixTokens: 0,
			ended: false,
			isExpired: false,
			isReuseCertain: false,
			medianPauseMs: this.cfg.medianPauseMs,
			memoryUsed: memory.used / Math.max(1, memory.capacity),
			prefillTokensPerMs: spec.prefillTokensPerMs,
			...prefix,
		});
	}

	#expire(queued: WaitingCall): void {
		const index = this.#waiting.indexOf(queued);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
			this.cfg.onEnd(queued.call, 'expired');
		}
	}

	#computeRemainingMs(call: SimCall): number {
		return call.submittedAt + call.startTimeoutMs - this.cfg.clock.now;
	}

	#createAdmissionView(call: SimCall) {
		const {row, weight} = call.root.row;
		const weights = new Map([[row, weight], ...this.#waiting.map(waiting => [waiting.row, waiting.weight] as const)]);
		const total = [...weights.values()].reduce((sum, value) => sum + value, 0);
		const waitingOfRow = this.#waiting.filter(waiting => waiting.row === row);
		const rowQueued = waitingOfRow.length;
		return {
			startsProgram: call.startsProgram,
			deadlineMs: this.#computeRemainingMs(call),
			slots: this.engine.spec.slots,
			running: this.engine.runs.size,
			callMs: this.#speed.callMs,
			programMs: this.cfg.meanProgramMs(),
			queued: this.#waiting.length,
			rowQueued,
			rowQueuedStarts: waitingOfRow.filter(waiting => waiting.startsProgram).length,
			rowInFlight: rowQueued,
			rowShare: weight / total,
		};
	}
}
