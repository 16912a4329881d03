/**
Draws all programs of a run from its seed, before the run starts.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import {drawArrivals} from './draw-arrivals.js';
import {drawSteps} from './draw-steps.js';
import {estimateCapacity} from './estimate-capacity.js';
import type {ProgramPlan} from './program-plan.js';
import type {RowPlan} from './row-plan.js';
import type {RunOptions} from './run-options.js';
import {sumWork} from './sum-work.js';
import type {Workload} from './workload.js';

/** Total offered load during the fault `burst`, as a multiple of the capacity. */
const BURST_TOTAL_LOAD = 2;
/** Load that the last row adds during the fault `flood`, as a multiple of the capacity. */
const FLOOD_EXTRA_LOAD = 1;

/** A program without its arrival time. */
type Draft = Pick<ProgramPlan, 'row' | 'steps' | 'workMs' | 'diesAfter'>;

const drawDraft = (random: Random, workload: Workload, row: RowPlan): Draft => {
	const steps = drawSteps(random, workload.shape);
	const isDying = random() < workload.shape.deathChance;
	const diesAfter = Math.floor(random() * steps.length);
	const draft = {row, steps, workMs: sumWork(steps, workload.models.spec)};
	return isDying && diesAfter > 0 ? {...draft, diesAfter} : draft;
};

/** Draws programs row by row until each row's programs make up its part of `workMs`. */
const drawDrafts = (random: Random, workload: Workload, rows: readonly RowPlan[], workMs: number): readonly Draft[] => {
	const drafts: Draft[] = [];
	const total = rows.reduce((sum, row) => sum + row.demand, 0);
	for (const row of rows) {
		for (let remainingMs = workMs * row.demand / total; remainingMs > 0;) {
			const draft = drawDraft(random, workload, row);
			drafts.push(draft);
			remainingMs -= draft.workMs;
		}
	}

	return drafts;
};

const shuffle = <Item>(random: Random, items: readonly Item[]): readonly Item[] => {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = Math.floor(random() * (index + 1));
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled;
};

type Arrival = {readonly draft: Draft; readonly arrivesAt: number};

/** Draws the additional programs of the faults `burst` (all rows) and `flood` (the last row); none for other faults. */
const drawExtraArrivals = (random: Random, options: RunOptions, capacity: number): readonly Arrival[] => {
	const {fault, workload, windowMs, load} = options;
	const startsAt = windowMs / 3;
	const lengthMs = fault === 'burst' ? windowMs / 6 : windowMs / 3;
	const extraLoad = fault === 'burst' ? Math.max(0, BURST_TOTAL_LOAD - load) : FLOOD_EXTRA_LOAD;
	if (fault !== 'burst' && fault !== 'flood') {
		return [];
	}

	const rows = fault === 'burst' ? workload.rows : [workload.rows.at(-1)!];
	const drafts = drawDrafts(random, workload, rows, extraLoad * capacity * lengthMs);
	return drafts.map(draft => ({draft, arrivesAt: startsAt + (random() * lengthMs)}));
};

/** Returns the programs in the order of their arrival. They depend on the options alone, so all policies run the same programs. */
export const drawPrograms = (options: RunOptions): readonly ProgramPlan[] => {
	const {workload, windowMs, load, seed, fault} = options;
	const random = createRandom(seed);
	const capacity = estimateCapacity(workload);
	const drafts = shuffle(random, drawDrafts(random, workload, workload.rows, load * capacity * windowMs));
	const times = drawArrivals(random, drafts.length, windowMs);
	const arrivals = drafts.map((draft, index): Arrival => ({draft, arrivesAt: times[index]!}));
	const all = [...arrivals, ...drawExtraArrivals(random, options, capacity)].sort((a, b) => a.arrivesAt - b.arrivesAt);
	const crashingIndex = fault === 'crashing-request' ? all.findIndex(({arrivesAt}) => arrivesAt >= windowMs / 3) : -1;
	return all.map(({draft, arrivesAt}, index) => ({
		...draft, arrivesAt, index, crashes: index === crashingIndex,
	}));
};
