/**
What one run of one policy showed.
*/
import type {HubCounts} from '../sim/hub-counts.js';
import type {Latency} from './latency.js';
import type {RowMeasure} from './row-measure.js';

/** Figures of a run; latencies in milliseconds, shares from 0 to 1. */
export type RunMeasure = Latency & {
	readonly policy: string;
	readonly wasted: number;
	readonly wastedSeries: readonly number[];
	/** Work of the programs that finished within the window, over what the engines could do in it. */
	readonly goodput: number;
	/** Prompt tokens computed for each new one; 1 if no prefix was computed twice. */
	readonly recomputed: number;
	/** Mean share of slots busy within the window. */
	readonly busy: number;
	readonly rows: readonly RowMeasure[];
	/** The largest distance of a row from its fair share, relative to that share. */
	readonly unfairness: number;
	readonly programs: {started: number; finished: number; refused: number; failed: number; died: number; open: number};
	readonly counts: Readonly<HubCounts>;
	readonly maxRuns: number;
};
