/**
Renders the metrics of several runs as a text table.
*/
import type {LatencyPercentiles} from '../measure/latency-percentiles.js';
import type {RunMetrics} from '../measure/run-metrics.js';

const formatSeconds = (ms: number): string => (ms / 1000).toFixed(1);
const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const COLUMNS: ReadonlyArray<readonly [string, (run: RunMetrics) => string]> = [
	['policy', run => run.policy],
	['p50 s', run => formatSeconds(run.p50)],
	['p95 s', run => formatSeconds(run.p95)],
	['p99 s', run => formatSeconds(run.p99)],
	['wasted', run => formatPercent(run.wasted)],
	['goodput', run => formatPercent(run.goodput)],
	['busy', run => formatPercent(run.busy)],
	['computed', run => run.recomputed.toFixed(2)],
	['unfair', run => formatPercent(run.unfairness)],
	['started', run => `${run.programs.started}`],
	['finished', run => `${run.programs.finished}`],
	['refused', run => `${run.programs.refused}`],
	['failed', run => `${run.programs.failed}`],
	['died', run => `${run.programs.died}`],
	['open', run => `${run.programs.open}`],
	['refusals', run => `${run.counts.refusals}`],
	['retries/call', run => (run.counts.retries / Math.max(1, run.counts.calls)).toFixed(4)],
	['imports', run => `${run.counts.imports}`],
	['platform calls', () => 'not measured'],
];

/** Returns a line of headings, one line per policy and a last line with the lower bound of latency; columns are aligned. */
export const renderTable = (runs: readonly RunMetrics[], floor: LatencyPercentiles): string => {
	const lines = [COLUMNS.map(([heading]) => heading), ...runs.map(run => COLUMNS.map(([, format]) => format(run)))];
	const widths = COLUMNS.map((_column, index) => Math.max(...lines.map(line => line[index]!.length)));
	const table = lines.map(line => line.map((cell, index) => index === 0 ? cell.padEnd(widths[index]!) : cell.padStart(widths[index]!)).join('  ')).join('\n');
	return `${table}\n\nfloor (no waiting, every prefix held): p50 ${formatSeconds(floor.p50)} s, p95 ${formatSeconds(floor.p95)} s, p99 ${formatSeconds(floor.p99)} s`;
};
