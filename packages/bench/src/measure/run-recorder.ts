/**
Records starts, service and ends of programs during one run and computes the
run's metrics from them. Latency, goodput and service cover the measured period,
which is the window without the warm-up.
*/
import {estimateCapacity} from '../plan/estimate-capacity.js';
import type {ProgramPlan} from '../plan/program-plan.js';
import type {RunOptions} from '../plan/run-options.js';
import type {HubCounts} from '../sim/hub-counts.js';
import type {SimEngine} from '../sim/sim-engine.js';
import type {SimCall} from '../sim/sim-call.js';
import {LatencyRecorder} from './latency-recorder.js';
import {computeFairShares} from './compute-fair-shares.js';
import {computeWarmUpEnd} from './compute-warm-up-end.js';
import type {RowMetrics} from './row-metrics.js';
import type {RunMetrics} from './run-metrics.js';
import type {WasteMeter} from './waste-meter.js';

const sumValues = (values: ReadonlyMap<string, number>): number => [...values.values()].reduce((sum, value) => sum + value, 0);

export class RunRecorder {
	/** Programs that have started and not ended. */
	readonly open = new Set<ProgramPlan>();
	readonly #programs = {
		started: 0, finished: 0, refused: 0, failed: 0, died: 0,
	};

	readonly #latencies = new LatencyRecorder();
	readonly #warmUpEndsAt: number;
	readonly #servedMsByRow = new Map<string, number>();
	#finishedWorkMs = 0;
	#newTokens = 0;

	constructor(private readonly options: RunOptions, private readonly plans: readonly ProgramPlan[]) {
		this.#warmUpEndsAt = computeWarmUpEnd(options);
	}

	recordStart(plan: ProgramPlan): void {
		this.#programs.started++;
		this.open.add(plan);
	}

	recordEnd(plan: ProgramPlan, end: 'finished' | 'refused' | 'failed' | 'died', now: number): void {
		if (!this.open.delete(plan)) {
			throw new Error(`Program ${plan.index} ended twice.`);
		}

		this.#programs[end]++;
		if (end !== 'finished') {
			return;
		}

		if (this.#isInMeasuredPeriod(plan.arrivesAt)) {
			this.#latencies.record(now - plan.arrivesAt);
		}

		if (this.#isInMeasuredPeriod(now)) {
			this.#finishedWorkMs += plan.workMs;
		}
	}

	recordNewTokens(tokens: number): void {
		this.#newTokens += tokens;
	}

	/** Records the slot time of a model call at its end. */
	recordServed(call: SimCall, slotMs: number, now: number): void {
		if (call.pool === 'models' && this.#isInMeasuredPeriod(now)) {
			const {row} = call.root.row;
			this.#servedMsByRow.set(row, (this.#servedMsByRow.get(row) ?? 0) + slotMs);
		}
	}

	summarise(policy: string, waste: WasteMeter, counts: HubCounts, engines: readonly SimEngine[]): RunMetrics {
		const {models} = this.options.workload;
		const measuredMs = this.options.windowMs - this.#warmUpEndsAt;
		const rows = this.#computeRowMetrics();
		return {
			policy,
			...this.#latencies.summarise(),
			wasted: waste.share,
			wastedSeries: waste.series,
			goodput: this.#finishedWorkMs / (estimateCapacity(this.options.workload) * measuredMs),
			recomputed: engines.reduce((sum, engine) => sum + engine.computedTokens, 0) / Math.max(1, this.#newTokens),
			busy: sumValues(this.#servedMsByRow) / (models.count * models.spec.slots * measuredMs),
			rows,
			unfairness: Math.max(...rows.map(({served, fair}) => Math.abs((served / fair) - 1))),
			programs: {...this.#programs, open: this.open.size},
			counts,
			maxRuns: Math.max(...engines.map(engine => engine.maxRuns)),
		};
	}

	#computeRowMetrics(): readonly RowMetrics[] {
		const {rows} = this.options.workload;
		const served = rows.map(({row}) => this.#servedMsByRow.get(row) ?? 0);
		const total = served.reduce((sum, value) => sum + value, 0);
		const claims = rows.map(row => ({weight: row.weight, demand: this.#sumDemandMs(row.row)}));
		const fair = computeFairShares(claims, total);
		return rows.map(({row, weight}, index) => ({
			row, weight, served: served[index]! / total, fair: fair[index]! / total,
		}));
	}

	#sumDemandMs(row: string): number {
		let demand = 0;
		for (const plan of this.plans) {
			if (plan.row.row === row && this.#isInMeasuredPeriod(plan.arrivesAt)) {
				demand += plan.workMs;
			}
		}

		return demand;
	}

	#isInMeasuredPeriod(at: number): boolean {
		return at >= this.#warmUpEndsAt && at <= this.options.windowMs;
	}
}
