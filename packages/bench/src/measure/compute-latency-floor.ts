/**
Computes the lower bound of program latency, which no policy can go below.
*/
import type {ProgramPlan} from '../plan/program-plan.js';
import type {RunOptions} from '../plan/run-options.js';
import type {ProgramStep} from '../plan/program-step.js';
import type {UpstreamSpec} from '../plan/upstream-spec.js';
import {LatencyRecorder} from './latency-recorder.js';
import type {LatencyPercentiles} from './latency-percentiles.js';
import {computeWarmUpEnd} from './compute-warm-up-end.js';

/** Returns the duration of the steps if nothing waits; of parallel sub-agents the slowest counts. */
const computeCriticalPathMs = (steps: readonly ProgramStep[], spec: UpstreamSpec): number => {
	let sum = 0;
	for (const step of steps) {
		switch (step.kind) {
			case 'pause': {
				sum += step.ms;
				break;
			}

			case 'service': {
				sum += step.workMs;
				break;
			}

			case 'agents': {
				sum += Math.max(...step.agents.map(agent => computeCriticalPathMs(agent, spec)));
				break;
			}

			case 'model': {
				sum += (step.newTokens / spec.prefillTokensPerMs) + (step.outputTokens * spec.tokenMs);
				break;
			}
		}
	}

	return sum;
};

/** Returns the latencies that the programs would have if nothing waited and every prefix were held. Programs that arrive during the warm-up or whose process dies don't count. */
export const computeLatencyFloor = (plans: readonly ProgramPlan[], options: RunOptions): LatencyPercentiles => {
	const latencies = new LatencyRecorder();
	for (const plan of plans) {
		if (plan.diesAfter === undefined && plan.arrivesAt >= computeWarmUpEnd(options)) {
			latencies.record(computeCriticalPathMs(plan.steps, options.workload.models.spec));
		}
	}

	return latencies.summarise();
};
