/**
A simulated inference engine: continuous batching over a fixed number of slots,
one prefill at a time, and a limited prefix memory. A plain service is simulated
as an engine without tokens.

Not modelled: prefill that slows the token generation of other calls, and
prefixes shared between programs.
*/
import type {UpstreamSpec} from '../plan/upstream-spec.js';
import type {PrefixMemory} from './prefix-memory.js';
import type {SimCall} from './sim-call.js';
import type {VirtualClock} from './virtual-clock.js';

/** `crashed-alone`: no other call ran on the engine when it crashed. */
type RunEnd = 'done' | 'crashed' | 'crashed-alone';
type Run = {readonly call: SimCall; readonly startedAt: number; readonly tokenMs: number; readonly onEnd: (end: RunEnd, slotMs: number) => void};

/** Time from the start of a poisoned call to the crash. */
const CRASH_DELAY_MS = 1000;

export class SimEngine {
	isAlive = true;
	slowFactor = 1;
	readonly runs = new Set<Run>();
	/** Highest number of simultaneous runs; tests check it against the slots. */
	maxRuns = 0;
	/** Prompt tokens prefilled so far, repeated ones included. */
	computedTokens = 0;
	#prefillFreeAt = 0;

	constructor(
		readonly spec: UpstreamSpec,
		readonly memory: PrefixMemory,
		private readonly clock: VirtualClock,
		private readonly onCrash: () => void,
	) {}

	/** Starts the call if the engine is alive and has a slot and memory for it; returns whether it did. */
	start(call: SimCall, onEnd: Run['onEnd']): boolean {
		const {now} = this.clock;
		if (!this.isAlive || this.runs.size >= this.spec.slots) {
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
		if (call.isPoisoned) {
			this.clock.schedule(CRASH_DELAY_MS, () => {
				if (this.runs.has(run)) {
					this.crash();
					this.onCrash();
				}
			});
		}

		return true;
	}

	/** Ends every run as crashed and clears the prefix memory. */
	crash(): void {
		this.isAlive = false;
		const runs = [...this.runs];
		this.runs.clear();
		this.memory.clear(this.clock.now);
		this.#prefillFreeAt = 0;
		for (const run of runs) {
			run.onEnd(runs.length === 1 ? 'crashed-alone' : 'crashed', this.clock.now - run.startedAt);
		}
	}

	/** Returns the slot time of a call and reserves its prefill, which starts after the prefills before it. */
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
