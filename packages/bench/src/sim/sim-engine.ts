/**
A stand-in engine: continuous batching over finite slots, one prefill at a
time, limited prefix memory. A plain service is one without tokens.

Not modelled: prefill slowing the tokens of other calls, and prefixes shared
between programs.
*/
import type {UpstreamSpec} from '../plan/upstream-spec.js';
import type {PrefixMemory} from './prefix-memory.js';
import type {SimCall} from './sim-call.js';
import type {VirtualClock} from './virtual-clock.js';

/** `crashed-alone`: no other call ran on the engine when it crashed. */
type RunEnd = 'done' | 'crashed' | 'crashed-alone';
type Run = {readonly call: SimCall; readonly startedAt: number; readonly tokenMs: number; readonly onEnd: (end: RunEnd, slotMs: number) => void};

const CRASH_AFTER_MS = 1000;

/** Runs calls in slots and says when each ends. */
export class SimEngine {
	alive = true;
	slowFactor = 1;
	readonly runs = new Set<Run>();
	/** The most runs at once, for checking the model. */
	maxRuns = 0;
	/** Prompt tokens computed so far, again or for the first time. */
	computedTokens = 0;
	#prefillFreeAt = 0;

	constructor(
		readonly spec: UpstreamSpec,
		readonly memory: PrefixMemory,
		private readonly clock: VirtualClock,
		private readonly onCrash: () => void,
	) {}

	/** Starts the call; returns whether there was a slot and memory for it. */
	start(call: SimCall, onEnd: Run['onEnd']): boolean {
		const {now} = this.clock;
		if (!this.alive || this.runs.size >= this.spec.slots) {
			return false;
		}

		const held = Math.min(this.memory.held(call.program), call.promptTokens);
		if (call.pool === 'models' && !this.memory.pin(call.program, call.promptTokens + call.outputTokens, call.promptTokens, now)) {
			return false;
		}

		const run = {
			call, startedAt: now, tokenMs: this.spec.tokenMs * this.slowFactor, onEnd,
		};
		this.runs.add(run);
		this.maxRuns = Math.max(this.maxRuns, this.runs.size);
		this.clock.schedule(this.#computeDuration(call, call.promptTokens - held), () => {
			this.#finish(run);
		});
		if (call.poisoned) {
			this.clock.schedule(CRASH_AFTER_MS, () => {
				if (this.runs.has(run)) {
					this.crash();
					this.onCrash();
				}
			});
		}

		return true;
	}

	/** Ends every run and loses the memory. */
	crash(): void {
		this.alive = false;
		const runs = [...this.runs];
		this.runs.clear();
		this.memory.clear(this.clock.now);
		this.#prefillFreeAt = 0;
		for (const run of runs) {
			run.onEnd(runs.length === 1 ? 'crashed-alone' : 'crashed', this.clock.now - run.startedAt);
		}
	}

	#computeDuration(call: SimCall, missingTokens: number): number {
		if (call.pool === 'services') {
			return call.workMs * this.slowFactor;
		}

		const {now} = this.clock;
		this.computedTokens += missingTokens;
		const prefillEndsAt = Math.max(now, this.#prefillFreeAt) + (missingTokens / this.spec.prefillTokensPerMs * this.slowFactor);
		this.#prefillFreeAt = prefillEndsAt;
		return prefillEndsAt - now + (call.outputTokens * this.spec.tokenMs * this.slowFactor);
	}

	#finish(run: Run): void {
		if (!this.runs.delete(run)) {
			return;
		}

		this.memory.unpin(run.call.program, this.clock.now);
		run.onEnd('done', this.clock.now - run.startedAt);
	}
}
