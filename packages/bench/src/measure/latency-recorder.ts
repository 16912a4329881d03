/**
Records latencies in a histogram with three significant digits.
*/
import {build} from 'hdr-histogram-js';
import type {LatencyPercentiles} from './latency-percentiles.js';

/** Highest latency that the histogram can hold: 10 hours. */
const HIGHEST_LATENCY_MS = 36_000_000;

export class LatencyRecorder {
	readonly #histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_LATENCY_MS, numberOfSignificantValueDigits: 3});

	record(ms: number): void {
		this.#histogram.recordValue(Math.round(ms));
	}

	summarise(): LatencyPercentiles {
		const [p50, p95, p99] = [50, 95, 99].map(percentile => this.#histogram.getValueAtPercentile(percentile)) as [number, number, number];
		return {p50, p95, p99};
	}
}
