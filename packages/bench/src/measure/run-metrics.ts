/**
The metrics of one run of one policy.
*/
import type {HubCounts} from '../sim/hub-counts.js';
import type {LatencyPercentiles} from './latency-percentiles.js';
import type {RowMetrics} from './row-metrics.js';

/** Latencies are in milliseconds, shares from 0 to 1. */
export type RunMetrics = LatencyPercentiles & {
	readonly policy: string;
	/** Share of the engines' memory that held prefixes idle and without reuse, over the window. */
	readonly wasted: number;
	/** The same share for each of the equal parts of the window. */
	readonly wastedSeries: readonly number[];
	/** Work of the programs that finished within the measured period (the window without the warm-up), relative to what the engines could do in that time. */
	readonly goodput: number;
	/** Prompt tokens that the engines computed for each new prompt token; 1 if no prefix was computed twice. */
	readonly recomputed: number;
	/** Mean share of busy slots of the model engines within the measured period. */
	readonly busy: number;
	readonly rows: readonly RowMetrics[];
	/** The largest distance of a row from its fair share, relative to that share. */
	readonly unfairness: number;
	readonly programs: {started: number; finished: number; refused: number; failed: number; died: number; open: number};
	readonly counts: Readonly<HubCounts>;
	/** Highest number of simultaneous runs on any model engine. */
	readonly maxRuns: number;
};
