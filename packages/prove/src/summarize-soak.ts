/**
Summarizes many runs in one line per point.
*/
import type {ProofVerdict} from './proof-verdict.js';

const sumCounts = (verdicts: readonly ProofVerdict[], count: 'operations' | 'executions' | 'faults'): number => verdicts.reduce((total, verdict) => total + verdict[count], 0);

const summarizePoint = (point: string, verdicts: readonly ProofVerdict[]): string => {
	const violated = verdicts.filter(({violations}) => violations.length > 0);
	const inconclusive = verdicts.filter(({violations, isConclusive}) => violations.length === 0 && !isConclusive);
	const held = verdicts.length - violated.length - inconclusive.length;
	const counts = `${sumCounts(verdicts, 'operations')} operations, ${sumCounts(verdicts, 'executions')} runs on upstreams, ${sumCounts(verdicts, 'faults')} faults`;
	return [
		`${point}: ${verdicts.length} runs, ${held} held, ${violated.length} violated, ${inconclusive.length} met too little; ${counts}`,
		...violated.length > 0 ? [`; violated with seeds ${violated.map(({seed}) => seed).join(', ')}`] : [],
	].join('');
};

/** Lists the points in the order of their first run. */
export const summarizeSoak = (verdicts: readonly ProofVerdict[]): string => [...new Set(verdicts.map(({point}) => point))]
	.map(point => summarizePoint(point, verdicts.filter(verdict => verdict.point === point)))
	.join('\n');
