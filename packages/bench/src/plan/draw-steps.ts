/**
Draws the steps of one program.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {Step} from './step.js';
import type {Workload} from './workload.js';

type Shape = Workload['shape'];

const TOKENS_SPREAD = 0.9;
const PAUSE_SPREAD = 1.3;
const MAX_PAUSE_MS = 120_000;
const MAX_OUTPUT_TOKENS = 1024;
const MAX_NEW_TOKENS = 8000;
const MAX_AGENTS = 3;
const MAX_AGENT_TURNS = 6;

const drawNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const drawLogNormal = (random: Random, median: number, spread: number): number => median * Math.exp(spread * drawNormal(random));

const drawTurns = (random: Random, shape: Shape): number => {
	const {minTurns, maxTurns, turnsAlpha} = shape;
	const ratio = (minTurns / maxTurns) ** turnsAlpha;
	return Math.floor(minTurns / ((1 - (random() * (1 - ratio))) ** (1 / turnsAlpha)));
};

const drawModelStep = (random: Random, shape: Shape, medianTokens: number): Step => ({
	kind: 'model',
	newTokens: Math.ceil(Math.min(MAX_NEW_TOKENS, drawLogNormal(random, medianTokens, TOKENS_SPREAD))),
	outputTokens: Math.ceil(Math.min(MAX_OUTPUT_TOKENS, drawLogNormal(random, shape.outputTokens, TOKENS_SPREAD))),
});

const drawChain = (random: Random, shape: Shape, turns: number, mayFork: boolean): readonly Step[] => {
	const steps: Step[] = [drawModelStep(random, shape, shape.firstPromptTokens)];
	for (let turn = 1; turn < turns; turn++) {
		const chance = random();
		if (mayFork && chance < shape.agentsChance) {
			const count = 1 + Math.floor(random() * MAX_AGENTS);
			const agents = Array.from({length: count}, () => drawChain(random, shape, 1 + Math.floor(random() * MAX_AGENT_TURNS), false));
			steps.push({kind: 'agents', agents});
		} else if (chance < shape.agentsChance + shape.serviceChance) {
			steps.push({kind: 'service', workMs: drawLogNormal(random, shape.serviceMs, TOKENS_SPREAD), idempotent: random() >= shape.nonIdempotentChance});
		} else {
			steps.push({kind: 'pause', ms: Math.min(MAX_PAUSE_MS, drawLogNormal(random, shape.pauseMs, PAUSE_SPREAD))});
		}

		steps.push(drawModelStep(random, shape, shape.newTokens));
	}

	return steps;
};

/** Draws a chain of dependent calls with pauses, service calls and sub-agents; it starts and ends with a model call. */
export const drawSteps = (random: Random, shape: Shape): readonly Step[] => drawChain(random, shape, drawTurns(random, shape), true);
