/**
Draws the steps of one program: a chain of dependent model calls with pauses,
calls to plain services or sub-agents between them.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {ProgramStep} from './program-step.js';
import type {Workload} from './workload.js';

type Shape = Workload['shape'];

/** Sigma of the log-normal distributions of token counts and service times. */
const TOKENS_SIGMA = 0.9;
/** Sigma of the log-normal distribution of pauses. */
const PAUSE_SIGMA = 1.3;
const MAX_PAUSE_MS = 120_000;
const MAX_OUTPUT_TOKENS = 1024;
const MAX_NEW_TOKENS = 8000;
const MAX_AGENTS = 3;
const MAX_AGENT_TURNS = 6;

/** Draws from the standard normal distribution by the Box-Muller transform. */
const drawNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const drawLogNormal = (random: Random, median: number, sigma: number): number => median * Math.exp(sigma * drawNormal(random));

/** Draws the number of model turns from a bounded Pareto distribution by inverse transform. */
const drawTurns = (random: Random, shape: Shape): number => {
	const {minTurns, maxTurns, turnsAlpha} = shape;
	const ratio = (minTurns / maxTurns) ** turnsAlpha;
	return Math.floor(minTurns / ((1 - (random() * (1 - ratio))) ** (1 / turnsAlpha)));
};

const drawModelStep = (random: Random, shape: Shape, medianTokens: number): ProgramStep => ({
	kind: 'model',
	newTokens: Math.ceil(Math.min(MAX_NEW_TOKENS, drawLogNormal(random, medianTokens, TOKENS_SIGMA))),
	outputTokens: Math.ceil(Math.min(MAX_OUTPUT_TOKENS, drawLogNormal(random, shape.outputTokens, TOKENS_SIGMA))),
});

const drawChain = (random: Random, shape: Shape, turns: number, canStartAgents: boolean): readonly ProgramStep[] => {
	const steps: ProgramStep[] = [drawModelStep(random, shape, shape.firstPromptTokens)];
	for (let turn = 1; turn < turns; turn++) {
		const chance = random();
		if (canStartAgents && chance < shape.agentsChance) {
			const count = 1 + Math.floor(random() * MAX_AGENTS);
			const agents = Array.from({length: count}, () => drawChain(random, shape, 1 + Math.floor(random() * MAX_AGENT_TURNS), false));
			steps.push({kind: 'agents', agents});
		} else if (chance < shape.agentsChance + shape.serviceChance) {
			steps.push({kind: 'service', workMs: drawLogNormal(random, shape.serviceMs, TOKENS_SIGMA), idempotent: random() >= shape.nonIdempotentChance});
		} else {
			steps.push({kind: 'pause', ms: Math.min(MAX_PAUSE_MS, drawLogNormal(random, shape.pauseMs, PAUSE_SIGMA))});
		}

		steps.push(drawModelStep(random, shape, shape.newTokens));
	}

	return steps;
};

/** Returns the steps in order; they start and end with a model call. Sub-agents start no sub-agents of their own. */
export const drawSteps = (random: Random, shape: Shape): readonly ProgramStep[] => drawChain(random, shape, drawTurns(random, shape), true);
