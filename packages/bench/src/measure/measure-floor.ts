/**
The latency that no policy can beat.
*/
import type {ProgramPlan} from '../plan/program-plan.js';
import type {RunOptions} from '../plan/run-options.js';
import type {Step} from '../plan/step.js';
import type {UpstreamSpec} from '../plan/upstream-spec.js';
import {LatencyRecorder} from './latency-recorder.js';
import type {Latency} from './latency.js';
import {warmUpEnd} from './warm-up-end.js';

const sumCriticalPath = (steps: readonly Step[], spec: UpstreamSpec): number => {
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
				sum += Math.max(...step.agents.map(agent => sumCriticalPath(agent, spec)));
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

/** Returns the latencies of the programs that live to their end if nothing waits and every prefix is held. */
export const measureFloor = (plans: readonly ProgramPlan[], options: RunOptions): Latency => {
	const latencies = new LatencyRecorder();
	for (const plan of plans) {
		if (plan.diesAfter === undefined && plan.arrivesAt >= warmUpEnd(options)) {
			latencies.record(sumCriticalPath(plan.steps, options.workload.models.spec));
		}
	}

	return latencies.summarise();
};
