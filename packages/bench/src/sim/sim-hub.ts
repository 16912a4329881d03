/**
The placing process of the bench: chooses upstreams on lagged views, imports
prefixes and retries failed attempts.
*/
import {createRetryBudget} from '@siskinhub/core/decide/create-retry-budget.js';
import {depositAttempt} from '@siskinhub/core/decide/deposit-attempt.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {HubCounts} from './hub-counts.js';
import type {Policy} from './policy.js';
import type {PrefixIndex} from './prefix-index.js';
import type {SimCall} from './sim-call.js';
import type {UpstreamTracker} from './upstream-tracker.js';
import type {VirtualClock} from './virtual-clock.js';

/** Client to entry, entry to sidecar. */
const NETWORK_MS = 1.5;
const NO_UPSTREAM_RETRY_MS = 1000;
const IMPORT_SETUP_MS = 20;

type Pools = Readonly<Record<SimCall['pool'], ReadonlyMap<UpstreamId, UpstreamTracker>>>;

/** Places calls and hears how their attempts end. */
export class SimHub {
	/** Until when claims of non-idempotent calls wait for the platform's service. */
	platformUpAt = 0;
	/** Programs whose sub-agents run. */
	readonly parents = new Set<ProgramId>();
	readonly counts: HubCounts = {
		calls: 0, retries: 0, refusals: 0, imports: 0, quarantined: 0,
	};

	#budget = createRetryBudget();
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
		this.#budget = depositAttempt(this.#budget);
		const claimWaitMs = call.idempotent ? 0 : this.platformUpAt - this.clock.now;
		this.clock.schedule(claimWaitMs, () => {
			this.#place(call);
		});
	}

	/** Tells the holders of an ended program's prefix. */
	endProgram(program: ProgramId): void {
		const holders = [...this.prefixes.list(program).keys()];
		this.prefixes.forget(program);
		for (const holder of holders) {
			this.clock.schedule(NETWORK_MS, () => {
				this.pools.models.get(holder)?.sidecar.endProgram({program});
			});
		}
	}

	/** Hears the end of an attempt from a sidecar, or from its silence. */
	handleEnd(call: SimCall, end: 'done' | 'failed' | 'not-run' | 'expired'): void {
		this.#leave(call);
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
		if (this.policy.judgeSuspect(call.crashes) === 'quarantine') {
			this.counts.quarantined++;
			call.done('failed');
			return;
		}

		const pool = this.pools[call.pool];
		const held = this.prefixes.list(call.program);
		const views = [...pool.values()].map(tracker => tracker.view(held.get(tracker.sidecar.id)?.tokens ?? 0));
		const placement = this.policy.choose({
			program: call.program, startsProgram: call.startsProgram, promptTokens: call.promptTokens, expectedOutputTokens: call.expectedOutputTokens,
		}, views, this.clock.now, this.random);
		if (!placement) {
			this.clock.schedule(NO_UPSTREAM_RETRY_MS, () => {
				this.#place(call);
			});
			return;
		}

		call.attempts++;
		call.upstream = placement.upstream;
		pool.get(placement.upstream)!.recordPlacement(this.clock.now);
		const importMs = placement.importFrom ? this.#import(call, placement.importFrom) : 0;
		this.clock.schedule(NETWORK_MS + importMs, () => {
			this.#join(call);
		});
	}

	/** Moves a prefix between engines; returns how long the call waits for it. */
	#import(call: SimCall, from: UpstreamId): number {
		const to = call.upstream!;
		const source = this.pools.models.get(from)!.sidecar.engine;
		const target = this.pools.models.get(to)!.sidecar.engine;
		const tokens = source.alive ? source.memory.held(call.program) : 0;
		if (tokens === 0) {
			return NETWORK_MS;
		}

		const startsAt = Math.max(this.clock.now, this.#importFreeAt.get(to) ?? 0);
		const endsAt = startsAt + IMPORT_SETUP_MS + (tokens / target.spec.importTokensPerMs);
		this.#importFreeAt.set(to, endsAt);
		this.counts.imports++;
		this.clock.schedule(endsAt - this.clock.now, () => {
			if (source.alive && target.alive && source.memory.held(call.program) === tokens) {
				source.memory.release(call.program, this.clock.now, true);
				target.memory.insert(call.program, tokens, this.clock.now);
				this.prefixes.remove(call.program, from, this.clock.now);
				this.prefixes.add(call.program, to, tokens, this.clock.now);
			}
		});
		return endsAt - this.clock.now;
	}

	#join(call: SimCall): void {
		const {sidecar, state} = this.pools[call.pool].get(call.upstream!)!;
		if (!sidecar.engine.alive && state === 'silent') {
			this.handleEnd(call, 'not-run');
			return;
		}

		if (!sidecar.reachable) {
			sidecar.lost.push(call);
			return;
		}

		sidecar.join(call).mapErr(refusal => {
			this.#leave(call);
			this.counts.refusals++;
			call.done('refused', refusal.retryAfterMs);
		});
	}

	#handleFailure(call: SimCall, fate: 'failed' | 'not-run'): void {
		const outcome = this.policy.retry({
			attempts: call.attempts, fate, idempotent: call.idempotent, deadlineMs: call.submittedAt + call.patienceMs - this.clock.now,
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

	#leave(call: SimCall): void {
		this.pools[call.pool].get(call.upstream!)!.outstanding--;
	}
}
