/**
Formats the result of a run for the terminal.
*/
import type {ProofVerdict} from './proof-verdict.js';

const MAX_VIOLATIONS = 10;

const describeResult = ({violations, isConclusive}: ProofVerdict): string => {
	if (violations.length > 0) {
		return 'VIOLATED';
	}

	return isConclusive ? 'held' : 'held, but the run met too little of what it is about';
};

/** Returns several lines without a trailing line break. */
export const formatVerdict = (verdict: ProofVerdict): string => {
	const {point, seed, operations, executions, faults, outcomes, violations, timeline, logs} = verdict;
	return [
		`${point}: ${describeResult(verdict)} (seed ${seed}, ${operations} operations, ${executions} runs on upstreams, ${faults} faults)`,
		`  ${Object.entries(outcomes).map(([name, count]) => `${name} ${count}`).join(', ')}`,
		...violations.slice(0, MAX_VIOLATIONS).map(message => `  ${message}`),
		...violations.length > MAX_VIOLATIONS ? [`  and ${violations.length - MAX_VIOLATIONS} more`] : [],
		...timeline === undefined ? [] : ['', timeline],
		...logs === undefined ? [] : ['', `logs: ${logs}`],
	].join('\n');
};
