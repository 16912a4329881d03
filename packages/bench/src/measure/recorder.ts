/**
Gathers the figures of one run.
*/
import {measureCapacity} from '../plan/measure-capacity.js';
import type {ProgramPlan} from '../plan/program-plan.js';
import type {RunOptions} from '../plan/run-options.js';
import type {HubCounts} from '../sim/hub-counts.js';
import type {SimEngine} from '../sim/sim-engine.js';
import type {SimCall} from '../sim/sim-call.js';
import {LatencyRecorder} from './latency-recorder.js';
import {computeFairShares} from './compute-fair-shares.js';
import {warmUpEnd} from './warm-up-end.js';
import type {RowMeasure} from './row-measure.js';
import type {RunMeasure} from './run-measure.js';
import type {WasteMeter} from './waste-meter.js';

const sumValues = (values: ReadonlyMap<string, number>): number => [...values.values()].reduce((sum, value) => sum + value, 0);

/** Hears of starts, service and ends; figures count from the warm-up to the end of the window. */
export class Recorder {
	readonly open = new Set<ProgramPlan>();
	readonly #programs = {
		started: 0, finished: 0, refused: 0, failed: 0, died: 0,
	};

	readonly #latencies = new LatencyRecorder();
	readonly #from: number;
	readonly #served = new Map<string, number>();
	#finishedWorkMs = 0;
	#newTokens = 0;

	constructor(private readonly options: RunOptions, private readonly plans: readonly ProgramPlan[]) {
		this.#from = warmUpEnd(options);
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

		if (this.#counts(plan.arrivesAt)) {
			this.#latencies.record(now - plan.arrivesAt);
		}

		if (this.#counts(now)) {
			this.#finishedWorkMs += plan.workMs;
		}
	}

	recordNewTokens(tokens: number): void {
		this.#newTokens += tokens;
	}

	recordServed(call: SimCall, slotMs: number, now: number): void {
		if (call.pool === 'models' && this.#counts(now)) {
			const {row} = call.root.row;
			this.#served.set(row, (this.#served.get(row) ?? 0) + slotMs);
		}
	}

	summarise(policy: string, waste: WasteMeter, counts: HubCounts, engines: readonly SimEngine[]): RunMeasure {
		const {models} = this.options.workload;
		const countedMs = this.options.windowMs - this.#from;
		const rows = this.#measureRows();
		return {
			policy,
			...this.#latencies.summarise(),
			wasted: waste.share,
			wastedSeries: waste.series,
			goodput: this.#finishedWorkMs / (measureCapacity(this.options.workload) * countedMs),
			recomputed: engines.reduce((sum, engine) => sum + engine.computedTokens, 0) / Math.max(1, this.#newTokens),
			busy: sumValues(this.#served) / (models.count * models.spec.slots * countedMs),
			rows,
			unfairness: Math.max(...rows.map(({served, fair}) => Math.abs((served / fair) - 1))),
			programs: {...this.#programs, open: this.open.size},
			counts,
			maxRuns: Math.max(...engines.map(engine => engine.maxRuns)),
		};
	}

	#measureRows(): readonly RowMeasure[] {
		const {rows} = this.options.workload;
		const served = rows.map(({row}) => this.#served.get(row) ?? 0);
		const total = served.reduce((sum, value) => sum + value, 0);
		const claims = rows.map(row => ({weight: row.weight, demand: this.#sumDemand(row.row)}));
		const fair = computeFairShares(claims, total);
		return rows.map(({row, weight}, index) => ({
			row, weight, served: served[index]! / total, fair: fair[index]! / total,
		}));
	}

	#sumDemand(row: string): number {
		let demand = 0;
		for (const plan of this.plans) {
			if (plan.row.row === row && this.#counts(plan.arrivesAt)) {
				demand += plan.workMs;
			}
		}

		return demand;
	}

	#counts(at: number): boolean {
		return at >= this.#from && at <= this.options.windowMs;
	}
}
