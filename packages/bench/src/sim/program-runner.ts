/**
Simulates the callers: runs the steps of each planned program, one after the
other, and repeats calls that were refused or failed.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {ProgramPlan} from '../plan/program-plan.js';
import type {ProgramStep} from '../plan/program-step.js';
import type {RootState} from './root-state.js';
import type {SimCall} from './sim-call.js';
import type {SimHub} from './sim-hub.js';
import type {VirtualClock} from './virtual-clock.js';

/** Attempts that a caller makes at one call, the first included. */
const MAX_CALLER_ATTEMPTS = 5;
/** Least delay before a caller's next attempt if the refusal names none; up to the same again is added at random. */
const CALLER_RETRY_DELAY_MS = 1000;
/** How long a caller waits for one attempt to start. */
const CALL_START_TIMEOUT_MS = 120_000;

type ProgramEnd = 'finished' | 'refused' | 'failed' | 'died';
/** The progress of one program or sub-agent. */
type Chain = {readonly program: ProgramId; readonly plan: ProgramPlan; readonly root: RootState; contextTokens: number; index: number};
type CallSpec = Pick<SimCall, 'pool' | 'outputTokens' | 'workMs' | 'idempotent' | 'startsProgram' | 'isPoisoned'>;

type RunnerConfig = {
	readonly expectedOutputTokens: number;
	readonly onEnd: (plan: ProgramPlan, end: ProgramEnd, attainedMs: number) => void;
	readonly onNewTokens: (tokens: number) => void;
};

export class ProgramRunner {
	constructor(
		private readonly clock: VirtualClock,
		private readonly hub: SimHub,
		private readonly random: Random,
		private readonly cfg: RunnerConfig,
	) {}

	start(plan: ProgramPlan): void {
		const root = {row: plan.row, startedAt: this.clock.now, attainedMs: 0};
		const chain: Chain = {
			program: `p0-${plan.index}` as ProgramId, plan, root, contextTokens: 0, index: 0,
		};
		this.#runChain(chain, plan.steps, end => {
			// A dead process doesn't report its end, so its prefix stays until something else releases it.
			if (end !== 'died') {
				this.hub.endProgram(chain.program);
			}

			this.cfg.onEnd(plan, end, root.attainedMs);
		});
	}

	#runChain(chain: Chain, steps: readonly ProgramStep[], done: (end: ProgramEnd) => void): void {
		const step = steps[chain.index];
		if (!step) {
			done('finished');
			return;
		}

		if (steps === chain.plan.steps && chain.index > 0 && chain.index === chain.plan.diesAfter) {
			done('died');
			return;
		}

		this.#runStep(chain, step, end => {
			chain.index++;
			if (end === 'finished') {
				this.#runChain(chain, steps, done);
			} else {
				done(end);
			}
		});
	}

	#runStep(chain: Chain, step: ProgramStep, done: (end: ProgramEnd) => void): void {
		switch (step.kind) {
			case 'pause': {
				this.clock.schedule(step.ms, () => {
					done('finished');
				});

				break;
			}

			case 'agents': {
				this.#runAgents(chain, step.agents, done);

				break;
			}

			case 'service': {
				this.#call(chain, {
					pool: 'services', outputTokens: 0, workMs: step.workMs, idempotent: step.idempotent, startsProgram: false, isPoisoned: false,
				}, done);

				break;
			}

			case 'model': {
				this.#callModel(chain, step, done);

				break;
			}
		}
	}

	#callModel(chain: Chain, step: Extract<ProgramStep, {kind: 'model'}>, done: (end: ProgramEnd) => void): void {
		chain.contextTokens += step.newTokens;
		this.cfg.onNewTokens(step.newTokens);
		const isFirst = chain.index === 0 && chain.root.attainedMs === 0;
		this.#call(chain, {
			pool: 'models', outputTokens: step.outputTokens, workMs: 0, idempotent: true, startsProgram: isFirst, isPoisoned: isFirst && chain.plan.crashes,
		}, end => {
			chain.contextTokens += step.outputTokens;
			done(end);
		});
	}

	/** Runs the sub-agents in parallel; `done` gets the first end other than `finished`, if there is one. */
	#runAgents(chain: Chain, agents: ReadonlyArray<readonly ProgramStep[]>, done: (end: ProgramEnd) => void): void {
		this.hub.programsWithAgents.add(chain.program);
		const ends: ProgramEnd[] = [];
		const handleAgentEnd = (child: ProgramId, end: ProgramEnd): void => {
			this.hub.endProgram(child);
			ends.push(end);
			if (ends.length === agents.length) {
				this.hub.programsWithAgents.delete(chain.program);
				done(ends.find(other => other !== 'finished') ?? 'finished');
			}
		};

		for (const [index, steps] of agents.entries()) {
			const child: Chain = {
				program: `${chain.program}-${chain.index}-${index}` as ProgramId, plan: chain.plan, root: chain.root, contextTokens: 0, index: 0,
			};
			this.#runChain(child, steps, end => {
				handleAgentEnd(child.program, end);
			});
		}
	}

	/** Makes a call; repeats it if it was refused, or if it failed and is idempotent. */
	#call(chain: Chain, spec: CallSpec, done: (end: ProgramEnd) => void): void {
		const crashes = {shared: 0, alone: 0};
		const attempt = (number: number): void => {
			this.hub.submit({
				...spec,
				program: chain.program,
				root: chain.root,
				promptTokens: chain.contextTokens,
				expectedOutputTokens: spec.pool === 'models' ? this.cfg.expectedOutputTokens : 0,
				startTimeoutMs: CALL_START_TIMEOUT_MS,
				submittedAt: this.clock.now,
				crashes,
				attempts: 0,
				done: (outcome, retryAfterMs) => {
					if (outcome === 'answered') {
						done('finished');
					} else if (number < MAX_CALLER_ATTEMPTS && (outcome === 'refused' || spec.idempotent)) {
						this.clock.schedule((retryAfterMs ?? CALLER_RETRY_DELAY_MS) * (1 + this.random()), () => {
							attempt(number + 1);
						});
					} else {
						done(outcome === 'refused' && spec.startsProgram ? 'refused' : 'failed');
					}
				},
			});
		};

		attempt(1);
	}
}
