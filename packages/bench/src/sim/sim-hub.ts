/**
The simulated hub: chooses an upstream for each call from delayed load reports,
imports prefixes between engines and retries failed attempts.
*/
import {createRetryBudget} from '@siskinhub/core/decide/create-retry-budget.js';
import {creditFirstAttempt} from '@siskinhub/core/decide/credit-first-attempt.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {HubCounts} from './hub-counts.js';
import type {Policy} from './policy.js';
import type {PrefixIndex} from './prefix-index.js';
import type {SimCall} from './sim-call.js';
import type {UpstreamTracker} from './upstream-tracker.js';
import type {VirtualClock} from './virtual-clock.js';

/** Delay of a message from the client by way of the entry to the sidecar. */
const NETWORK_DELAY_MS = 1.5;
/** Delay before a call is placed again when the policy finds no upstream for it. */
const NO_UPSTREAM_RETRY_DELAY_MS = 1000;
/** Fixed time of a prefix import, before its tokens are transferred. */
const IMPORT_SETUP_MS = 20;

type Pools = Readonly<Record<SimCall['pool'], ReadonlyMap<UpstreamId, UpstreamTracker>>>;

export class SimHub {
	/** Virtual time until which the platform is down; non-idempotent calls wait for it, because they need a claim there. */
	platformRestoredAt = 0;
	/** Programs that wait for running sub-agents. */
	readonly programsWithAgents = new Set<ProgramId>();
	readonly counts: HubCounts = {
		calls: 0, retries: 0, refusals: 0, imports: 0, quarantined: 0,
	};

	#budget = createRetryBudget();
	/** Virtual time at which an upstream can start its next import; it does one at a time. */
	readonly #importFreeAt = new Map<UpstreamId, number>();

	constructor(
		private readonly clock: VirtualClock,
		private readonly policy: Policy,
		private readonly pools: Pools,
		private readonly prefixes: PrefixIndex,
		private readonly random: Random,
	) {}

	submit(call: SimCall): void {
		this.counts.calls++;
		this.#budget = creditFirstAttempt(this.#budget);
		const claimWaitMs = call.idempotent ? 0 : this.platformRestoredAt - this.clock.now;
		this.clock.schedule(claimWaitMs, () => {
			this.#place(call);
		});
	}

	/** Notifies the upstreams that hold the ended program's prefix. */
	endProgram(program: ProgramId): void {
		const holders = [...this.prefixes.list(program).keys()];
		this.prefixes.removeProgram(program);
		for (const holder of holders) {
			this.clock.schedule(NETWORK_DELAY_MS, () => {
				this.pools.models.get(holder)?.sidecar.endProgram({program});
			});
		}
	}

	/** Handles the end of an attempt, reported by the sidecar or concluded from its silence. */
	handleAttemptEnd(call: SimCall, end: 'done' | 'failed' | 'not-run' | 'expired'): void {
		this.#decrementOutstanding(call);
		if (end === 'done') {
			if (call.pool === 'models') {
				this.prefixes.add(call.program, call.upstream!, call.promptTokens + call.outputTokens, this.clock.now);
			}

			call.done('answered');
		} else if (end === 'expired') {
			call.done('failed');
		} else {
			this.#handleFailure(call, end);
		}
	}

	#place(call: SimCall): void {
		if (this.policy.isolate(call.crashes) === 'quarantine') {
			this.counts.quarantined++;
			call.done('failed');
			return;
		}

		const pool = this.pools[call.pool];
		const held = this.prefixes.list(call.program);
		const views = [...pool.values()].map(tracker => tracker.createView(held.get(tracker.sidecar.id)?.tokens ?? 0));
		const placement = this.policy.choose({
			program: call.program, startsProgram: call.startsProgram, promptTokens: call.promptTokens, expectedOutputTokens: call.expectedOutputTokens,
		}, views, this.clock.now, this.random);
		if (!placement) {
			this.clock.schedule(NO_UPSTREAM_RETRY_DELAY_MS, () => {
				this.#place(call);
			});
			return;
		}

		call.attempts++;
		call.upstream = placement.upstream;
		pool.get(placement.upstream)!.recordPlacement(this.clock.now);
		const importMs = placement.importFrom ? this.#importPrefix(call, placement.importFrom) : 0;
		this.clock.schedule(NETWORK_DELAY_MS + importMs, () => {
			this.#enqueue(call);
		});
	}

	/** Schedules the move of a prefix from `from` to the call's upstream; returns how long the call waits for it, in milliseconds. */
	#importPrefix(call: SimCall, from: UpstreamId): number {
		const to = call.upstream!;
		const source = this.pools.models.get(from)!.sidecar.engine;
		const target = this.pools.models.get(to)!.sidecar.engine;
		const tokens = source.isAlive ? source.memory.held(call.program) : 0;
		if (tokens === 0) {
			return NETWORK_DELAY_MS;
		}

		const startsAt = Math.max(this.clock.now, this.#importFreeAt.get(to) ?? 0);
		const endsAt = startsAt + IMPORT_SETUP_MS + (tokens / target.spec.importTokensPerMs);
		this.#importFreeAt.set(to, endsAt);
		this.counts.imports++;
		this.clock.schedule(endsAt - this.clock.now, () => {
			if (source.isAlive && target.isAlive && source.memory.held(call.program) === tokens) {
				source.memory.release(call.program, this.clock.now, true);
				target.memory.insert(call.program, tokens, this.clock.now);
				this.prefixes.remove(call.program, from, this.clock.now);
				this.prefixes.add(call.program, to, tokens, this.clock.now);
			}
		});
		return endsAt - this.clock.now;
	}

	#enqueue(call: SimCall): void {
		const {sidecar, state} = this.pools[call.pool].get(call.upstream!)!;
		if (!sidecar.engine.isAlive && state === 'silent') {
			this.handleAttemptEnd(call, 'not-run');
			return;
		}

		if (!sidecar.isReachable) {
			sidecar.lost.push(call);
			return;
		}

		sidecar.enqueue(call).mapErr(refusal => {
			this.#decrementOutstanding(call);
			this.counts.refusals++;
			call.done('refused', refusal.retryAfterMs);
		});
	}

	#handleFailure(call: SimCall, fate: 'failed' | 'not-run'): void {
		const outcome = this.policy.retry({
			attempts: call.attempts, fate, idempotent: call.idempotent, deadlineMs: call.submittedAt + call.startTimeoutMs - this.clock.now,
		}, this.#budget, this.random);
		this.#budget = outcome.budget;
		if (!outcome.retry) {
			call.done('failed');
			return;
		}

		this.counts.retries++;
		this.clock.schedule(outcome.afterMs, () => {
			this.#place(call);
		});
	}

	#decrementOutstanding(call: SimCall): void {
		this.pools[call.pool].get(call.upstream!)!.outstanding--;
	}
}
