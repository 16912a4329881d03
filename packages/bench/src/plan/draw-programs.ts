/**
Draws all programs of a run.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import {drawArrivals} from './draw-arrivals.js';
import {drawSteps} from './draw-steps.js';
import {measureCapacity} from './measure-capacity.js';
import type {ProgramPlan} from './program-plan.js';
import type {RowPlan} from './row-plan.js';
import type {RunOptions} from './run-options.js';
import {sumWork} from './sum-work.js';
import type {Workload} from './workload.js';

/** Offered load during the burst, and the further load of the flooding row. */
const BURST_LOAD = 2;
const FLOOD_LOAD = 1;

type Draft = Pick<ProgramPlan, 'row' | 'steps' | 'workMs' | 'diesAfter'>;

const drawDraft = (random: Random, workload: Workload, row: RowPlan): Draft => {
	const steps = drawSteps(random, workload.shape);
	const dies = random() < workload.shape.deathChance;
	const diesAfter = Math.floor(random() * steps.length);
	const draft = {row, steps, workMs: sumWork(steps, workload.models.spec)};
	return dies && diesAfter > 0 ? {...draft, diesAfter} : draft;
};

/** Draws programs until each row has its part of the work. */
const drawDrafts = (random: Random, workload: Workload, rows: readonly RowPlan[], workMs: number): readonly Draft[] => {
	const drafts: Draft[] = [];
	const total = rows.reduce((sum, row) => sum + row.demand, 0);
	for (const row of rows) {
		for (let left = workMs * row.demand / total; left > 0;) {
			const draft = drawDraft(random, workload, row);
			drafts.push(draft);
			left -= draft.workMs;
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

const drawExtra = (random: Random, options: RunOptions, capacity: number): readonly Arrival[] => {
	const {fault, workload, windowMs, load} = options;
	const startsAt = windowMs / 3;
	const lengthMs = fault === 'burst' ? windowMs / 6 : windowMs / 3;
	const extraLoad = fault === 'burst' ? Math.max(0, BURST_LOAD - load) : FLOOD_LOAD;
	if (fault !== 'burst' && fault !== 'flood') {
		return [];
	}

	const rows = fault === 'burst' ? workload.rows : [workload.rows.at(-1)!];
	const drafts = drawDrafts(random, workload, rows, extraLoad * capacity * lengthMs);
	return drafts.map(draft => ({draft, arrivesAt: startsAt + (random() * lengthMs)}));
};

/** Returns the programs by arrival; they depend on the options alone, so every policy meets the same. */
export const drawPrograms = (options: RunOptions): readonly ProgramPlan[] => {
	const {workload, windowMs, load, seed, fault} = options;
	const random = createRandom(seed);
	const capacity = measureCapacity(workload);
	const drafts = shuffle(random, drawDrafts(random, workload, workload.rows, load * capacity * windowMs));
	const times = drawArrivals(random, drafts.length, windowMs);
	const arrivals = drafts.map((draft, index): Arrival => ({draft, arrivesAt: times[index]!}));
	const all = [...arrivals, ...drawExtra(random, options, capacity)].sort((a, b) => a.arrivesAt - b.arrivesAt);
	const crashing = fault === 'crashing-request' ? all.findIndex(({arrivesAt}) => arrivesAt >= windowMs / 3) : -1;
	return all.map(({draft, arrivesAt}, index) => ({
		...draft, arrivesAt, index, crashes: index === crashing,
	}));
};
