/**
The queue before one stand-in engine, ordered and guarded by the policy.
*/
import {activateRow} from '@siskinhub/core/decide/activate-row.js';
import {chargeRow} from '@siskinhub/core/decide/charge-row.js';
import type {RetentionView} from '@siskinhub/core/decide/retention-view.js';
import type {RowService} from '@siskinhub/core/decide/row-service.js';
import type {AdmissionDecision} from '@siskinhub/core/decide/admission-decision.js';
import type {QueueView} from '@siskinhub/core/decide/queue-view.js';
import type {QueuedCall} from '@siskinhub/core/decide/queued-call.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {LoadReport} from './load-report.js';
import {PaceMeter} from './pace-meter.js';
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
	readonly meanProgramMs: () => number;
	readonly typicalCallMs: number;
};

type Waiting = QueuedCall & {readonly call: SimCall};

/** Admits, orders and starts the calls of one engine, and releases its prefixes. */
export class SimSidecar {
	/** Whether the host is reachable; a lost host takes its calls with it. */
	reachable = true;
	readonly lost: SimCall[] = [];
	#waiting: Waiting[] = [];
	#rows: RowService = new Map();
	#runsAlone = false;
	readonly #pace: PaceMeter;

	constructor(private readonly cfg: SidecarConfig) {
		this.#pace = new PaceMeter(cfg.typicalCallMs, cfg.engine.spec.tokenMs);
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

	/** Queues the call, or refuses it. */
	join(call: SimCall): ReturnType<AdmissionDecision> {
		const admitted = this.cfg.policy.admit(this.#viewAdmission(call));
		return admitted.map(() => {
			const {row, weight, priority} = call.root.row;
			const queued = {
				call,
				row,
				weight,
				priority,
				startsProgram: call.startsProgram,
				missingTokens: this.#countMissing(call),
				queuedAt: this.cfg.clock.now,
				programStartedAt: call.root.startedAt,
				attainedMs: call.root.attainedMs,
			};
			this.#rows = activateRow(this.#rows, queued, this.#waiting);
			this.#waiting.push(queued);
			this.cfg.clock.schedule(this.#patienceLeft(call), () => {
				this.#expire(queued);
			});
			this.dispatch();
			return undefined;
		});
	}

	/** Starts what the order gives, as long as slots and memory allow. */
	dispatch(): void {
		while (this.reachable && !this.#runsAlone && this.#waiting.length > 0 && this.engine.runs.size < this.engine.spec.slots) {
			const index = this.cfg.policy.order(this.#waiting, this.#viewQueue(), this.cfg.clock.now);
			const next = this.#waiting[index];
			if (!next) {
				return;
			}

			const alone = this.cfg.policy.judgeSuspect(next.call.crashes) === 'alone';
			if ((alone && this.engine.runs.size > 0) || !this.#start(next, alone)) {
				return;
			}

			this.#waiting.splice(index, 1);
			this.#runsAlone = alone;
		}
	}

	/** Ends everything that waits or runs; calls of an unreachable host stay unknown until its silence is noticed. */
	fail(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		this.engine.crash();
		for (const {call} of waiting) {
			this.#reportFailure(call, 'not-run');
		}
	}

	report(): LoadReport {
		this.#pace.recordPace([...this.engine.runs].map(run => run.tokenMs), this.cfg.clock.now);
		return {
			running: this.engine.runs.size,
			queued: this.#waiting.length,
			queuedStarts: this.#waiting.filter(waiting => waiting.startsProgram).length,
			usedTokens: this.engine.memory.used,
			callMs: this.#pace.callMs,
			tokenMs: this.#pace.tokenMs(this.cfg.clock.now),
			takenAt: this.cfg.clock.now,
		};
	}

	/** Releases the prefix of an ended program, if the policy does. */
	endProgram(call: Pick<SimCall, 'program'>): void {
		if (this.#decideRetention({ended: true}) === 0) {
			this.engine.memory.release(call.program, this.cfg.clock.now);
			this.dispatch();
		}
	}

	#countMissing(call: SimCall): number {
		return Math.max(0, call.promptTokens + call.expectedOutputTokens - this.engine.memory.held(call.program));
	}

	#viewQueue(): QueueView {
		const {memory} = this.engine;
		return {
			rows: this.#rows, slots: this.engine.spec.slots, running: this.engine.runs.size, memoryTokens: memory.capacity, freeTokens: memory.capacity - memory.used,
		};
	}

	#start(next: Waiting, alone: boolean): boolean {
		const {call} = next;
		const estimateMs = this.#pace.callMs;
		const started = this.engine.start(call, (end, slotMs) => {
			this.#rows = chargeRow(this.#rows, next, slotMs - estimateMs);
			this.#runsAlone &&= !alone;
			this.#handleEnd(call, end, slotMs);
		});
		if (started) {
			this.#rows = chargeRow(this.#rows, next, estimateMs);
		}

		return started;
	}

	#handleEnd(call: SimCall, end: 'done' | 'crashed' | 'crashed-alone', slotMs: number): void {
		call.root.attainedMs += slotMs;
		this.cfg.onServed(call, slotMs);
		if (end !== 'done') {
			this.#recordCrash(call, end === 'crashed-alone');
			this.#reportFailure(call, 'failed');
			return;
		}

		this.#pace.recordCall(slotMs);
		this.#retain(call);
		this.cfg.onEnd(call, 'done');
		this.dispatch();
	}

	/** A lost host leaves no record of what ran beside what. */
	#recordCrash(call: SimCall, alone: boolean): void {
		if (this.reachable) {
			call.crashes[alone ? 'alone' : 'shared']++;
		}
	}

	#reportFailure(call: SimCall, end: 'failed' | 'not-run'): void {
		if (this.reachable) {
			this.cfg.onEnd(call, end);
		} else {
			this.lost.push(call);
		}
	}

	#retain(call: SimCall, expired = false): void {
		const {memory} = this.engine;
		const group = memory.groups.get(call.program);
		const keepMs = this.#decideRetention({prefixTokens: group?.tokens ?? 0, expired, reuseCertain: expired && (this.#isWaiting(call.program) || this.cfg.hasAgents(call.program))});
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
			if (memory.groups.get(call.program) === group && group.idleSince === idleSince && !group.pinned) {
				this.#retain(call, true);
			}
		});
	}

	#isWaiting(program: ProgramId): boolean {
		return this.#waiting.some(waiting => waiting.call.program === program);
	}

	#decideRetention(prefix: Partial<RetentionView>): number {
		const {memory, spec} = this.engine;
		return this.cfg.policy.retain({
			prefixTokens: 0,
			ended: false,
			expired: false,
			reuseCertain: false,
			medianPauseMs: this.cfg.medianPauseMs,
			memoryUsed: memory.used / Math.max(1, memory.capacity),
			prefillTokensPerMs: spec.prefillTokensPerMs,
			...prefix,
		});
	}

	#expire(queued: Waiting): void {
		const index = this.#waiting.indexOf(queued);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
			this.cfg.onEnd(queued.call, 'expired');
		}
	}

	#patienceLeft(call: SimCall): number {
		return call.submittedAt + call.patienceMs - this.cfg.clock.now;
	}

	#viewAdmission(call: SimCall) {
		const {row, weight} = call.root.row;
		const weights = new Map([[row, weight], ...this.#waiting.map(waiting => [waiting.row, waiting.weight] as const)]);
		const total = [...weights.values()].reduce((sum, value) => sum + value, 0);
		const ofRow = this.#waiting.filter(waiting => waiting.row === row);
		const rowQueued = ofRow.length;
		return {
			startsProgram: call.startsProgram,
			deadlineMs: this.#patienceLeft(call),
			slots: this.engine.spec.slots,
			running: this.engine.runs.size,
			callMs: this.#pace.callMs,
			programMs: this.cfg.meanProgramMs(),
			queued: this.#waiting.length,
			rowQueued,
			rowQueuedStarts: ofRow.filter(waiting => waiting.startsProgram).length,
			rowOpen: rowQueued,
			rowShare: weight / total,
		};
	}
}
