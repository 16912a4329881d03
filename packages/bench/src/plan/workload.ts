/**
A workload: the deployment of one customer and the distributions from which its
programs are drawn.
*/
import type {RowPlan} from './row-plan.js';
import type {UpstreamSpec} from './upstream-spec.js';

type Pool = {
	readonly name: string;
	readonly count: number;
	readonly spec: UpstreamSpec;
};

/** Parameters of the distributions; token counts and times are medians. */
type ProgramShape = {
	/** Number of model turns: bounded Pareto distribution with exponent `turnsAlpha`. */
	readonly minTurns: number;
	readonly maxTurns: number;
	readonly turnsAlpha: number;
	readonly firstPromptTokens: number;
	readonly newTokens: number;
	readonly outputTokens: number;
	readonly pauseMs: number;
	/** Chance that a turn is followed by a call to a plain service. */
	readonly serviceChance: number;
	readonly serviceMs: number;
	/** Chance that such a call is not idempotent. */
	readonly nonIdempotentChance: number;
	/** Chance that a turn is followed by sub-agents. */
	readonly agentsChance: number;
	/** Chance that the program's process dies before its end. */
	readonly deathChance: number;
};

export type Workload = {
	readonly dataCentres: readonly string[];
	readonly models: Pool;
	readonly services: Pool;
	readonly rows: readonly RowPlan[];
	readonly shape: ProgramShape;
};
