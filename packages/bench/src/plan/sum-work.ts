/**
Sums the work in a chain of steps.
*/
import type {ProgramStep} from './program-step.js';
import type {UpstreamSpec} from './upstream-spec.js';

/** Returns the slot time of model engines that the steps need, in milliseconds, if no prefix has to be computed again. */
export const sumWork = (steps: readonly ProgramStep[], spec: UpstreamSpec): number => {
	let workMs = 0;
	for (const step of steps) {
		if (step.kind === 'model') {
			workMs += (step.newTokens / spec.prefillTokensPerMs) + (step.outputTokens * spec.tokenMs);
		} else if (step.kind === 'agents') {
			workMs += step.agents.reduce((sum, agent) => sum + sumWork(agent, spec), 0);
		}
	}

	return workMs;
};
