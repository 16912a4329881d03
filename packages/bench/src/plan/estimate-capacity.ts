/**
Estimates the capacity of the model pool from a sample of drawn programs.

Either slots or memory can be the limit. A running program holds memory during
its pauses too. The number of slots that the memory can keep busy is therefore
its size divided by the mean tokens that running programs hold per busy slot.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import {drawSteps} from './draw-steps.js';
import type {ProgramStep} from './program-step.js';
import {sumWork} from './sum-work.js';
import type {UpstreamSpec} from './upstream-spec.js';
import type {Workload} from './workload.js';

const SAMPLED_PROGRAMS = 20_000;
const SAMPLE_SEED = 0;

/** Memory that a chain of steps holds, in token-milliseconds, and the chain's duration. */
type MemoryUse = {readonly tokenMs: number; readonly ms: number};

/** Sums the memory use of a chain in which nothing waits. */
const sumMemoryUse = (steps: readonly ProgramStep[], spec: UpstreamSpec): MemoryUse => {
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
				const agentUses = step.agents.map(agent => sumMemoryUse(agent, spec));
				ms = Math.max(...agentUses.map(use => use.ms));
				tokenMs += agentUses.reduce((sum, use) => sum + use.tokenMs, 0);
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

/** Returns how many slots of the model pool can be busy at once while the prefixes of all running programs stay in memory; depends on the workload alone. */
export const estimateCapacity = ({models: {count, spec}, shape}: Workload): number => {
	const random = createRandom(SAMPLE_SEED);
	let workMs = 0;
	let tokenMs = 0;
	for (let index = 0; index < SAMPLED_PROGRAMS; index++) {
		const steps = drawSteps(random, shape);
		workMs += sumWork(steps, spec);
		tokenMs += sumMemoryUse(steps, spec).tokenMs;
	}

	return count * Math.min(spec.slots, spec.memoryTokens * workMs / tokenMs);
};
