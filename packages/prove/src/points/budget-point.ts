/**
Many programs and their sub-agents share the budget of one row. The budget is
lowered during the run, some answers are longer than asked, and owners are killed
while they hold reservations.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkBudget} from '../checkers/check-budget.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {editCell} from './edit-cell.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';
import {readTable} from './read-table.js';

const INITIAL_BUDGET_TOKENS = 40_000;
const LOWERED_BUDGET_TOKENS = 25_000;
const PROPAGATION_BOUND_MS = 11_000;
const MAX_EDIT_ATTEMPTS = 20;
const OVERRUNNING_CLIENTS = 8;

type Limits = Parameters<typeof checkBudget>[1];

/** Resolves with the time at which the edit was accepted, or `undefined` if no attempt succeeded. */
const setBudget = async ({cluster, recorder}: ProofContext, value: number, name: string): Promise<number | undefined> => {
	for (let attempt = 0; attempt < MAX_EDIT_ATTEMPTS; attempt++) {
		const entry = cluster.entries[attempt % cluster.entries.length]!;
		const table = await readTable(entry.address);
		const entries = [entry, ...cluster.entries.filter(other => other !== entry)];
		const answer = table && await editCell({
			recorder, entries, operator: 'prove', editId: `${name}-${attempt}`, against: table.revision, row: 'workspace/proof', cell: 'budget', value,
		});
		if (answer?.revision !== undefined) {
			return answer.answeredAt;
		}

		await sleep(250);
	}

	return undefined;
};

/** Lowers the budget after a quarter of the run. */
const lowerBudgetMidRun = async (context: ProofContext): Promise<number | undefined> => {
	await sleep(context.seconds * 250);
	return setBudget(context, LOWERED_BUDGET_TOKENS, 'lower');
};

/** The initial limit is set before the first program starts; a limit that was never accepted is left out of the evidence. */
export const budgetPoint: ProofPoint<Limits> = {
	name: 'budget',
	cluster: {entries: 3, engines: 2, services: 0},
	faultsPerSecond: 0.5,
	faultDurationMs: [200, 3000],
	targets: context => listFaultTargets(context, ['kill', 'freeze', 'platform-down', 'platform-lose-answers', 'upstream-cut']),
	async drive(context) {
		const initialAt = await setBudget(context, INITIAL_BUDGET_TOKENS, 'first');
		const [loweredAt] = await Promise.all([
			lowerBudgetMidRun(context),
			drivePrograms(context, {
				programs: 12, turns: 12, serviceShare: 0, subAgents: 2, shouldEndProgram: true, getExtraText: client => client < OVERRUNNING_CLIENTS ? '[[overrun]] [[tokens=400]]' : '',
			}),
		]);
		return [
			...initialAt === undefined ? [] : [{tokens: INITIAL_BUDGET_TOKENS, from: 0}],
			...loweredAt === undefined ? [] : [{tokens: LOWERED_BUDGET_TOKENS, from: loweredAt + PROPAGATION_BOUND_MS}],
		];
	},
	check: (run, limits) => [...checkBudget(run.executions, limits), ...checkRequests(run)],
	isConclusive: ({operations}, limits) => limits.length > 0 && operations.some(({outcome}) => outcome?.kind === 'refused' && outcome.code === 'budget-exhausted'),
};
