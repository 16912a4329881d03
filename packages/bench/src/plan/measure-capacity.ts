/**
What a pool of engines can do.

Slots or memory may bind. A program under way takes memory through its pauses
too, so the slots that memory can feed are its tokens over the mean tokens that
live programs hold for each slot they keep busy.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import {drawSteps} from './draw-steps.js';
import type {Step} from './step.js';
import {sumWork} from './sum-work.js';
import type {UpstreamSpec} from './upstream-spec.js';
import type {Workload} from './workload.js';

const SAMPLED_PROGRAMS = 20_000;
const SAMPLE_SEED = 0;

type Hold = {readonly tokenMs: number; readonly ms: number};

/** Token-time that a chain holds if nothing waits, and its length. */
const sumHold = (steps: readonly Step[], spec: UpstreamSpec): Hold => {
	let context = 0;
	let tokenMs = 0;
	let total = 0;
	for (const step of steps) {
		let ms = 0;
		switch (step.kind) {
			case 'model': {
				ms = sumWork([step], spec);
				context += step.newTokens + step.outputTokens;
				break;
			}

			case 'agents': {
				const holds = step.agents.map(agent => sumHold(agent, spec));
				ms = Math.max(...holds.map(hold => hold.ms));
				tokenMs += holds.reduce((sum, hold) => sum + hold.tokenMs, 0);
				break;
			}

			case 'pause': {
				({ms} = step);
				break;
			}

			case 'service': {
				ms = step.workMs;
				break;
			}
		}

		tokenMs += context * ms;
		total += ms;
	}

	return {tokenMs, ms: total};
};

/** Returns the slots of the model pool that can be busy at once with every prefix of a live program held; it depends on the workload alone. */
export const measureCapacity = ({models: {count, spec}, shape}: Workload): number => {
	const random = createRandom(SAMPLE_SEED);
	let workMs = 0;
	let tokenMs = 0;
	for (let index = 0; index < SAMPLED_PROGRAMS; index++) {
		const steps = drawSteps(random, shape);
		workMs += sumWork(steps, spec);
		tokenMs += sumHold(steps, spec).tokenMs;
	}

	return count * Math.min(spec.slots, spec.memoryTokens * workMs / tokenMs);
};
