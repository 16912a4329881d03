/**
Several operators edit the same cells concurrently through different entries.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {checkTable} from '../checkers/check-table.js';
import {pick} from '../client/pick.js';
import {sendJsonRequest} from '../cluster/send-json-request.js';
import {editCell} from './edit-cell.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {ProofPoint} from './proof-point.js';
import type {ProofContext} from './proof-context.js';
import {readTable} from './read-table.js';

// An accepted change must be in force at every entry within this time.
const PROPAGATION_BOUND_MS = 11_000;
const SETTLE_MS = 12_000;
const OPERATOR_COUNT = 4;
const CELLS = ['weight', 'priority', 'concurrency'] as const;
const ROWS = ['workspace/proof', 'kind/agent'] as const;
const MAX_VALUE = 1000;
const EDIT_PAUSE_MS = 200;
const OBSERVATION_INTERVAL_MS = 150;
const MAX_HISTORY_ATTEMPTS = 20;

type TableObservation = Parameters<typeof checkTable>[0][number];
type ResolvedEdit = Parameters<typeof checkTable>[1][number];
type HistoryEdit = Parameters<typeof checkTable>[2][number];
type TableEvidence = {readonly observations: readonly TableObservation[]; readonly edits: readonly ResolvedEdit[]; readonly history?: readonly HistoryEdit[]; readonly unknown: number};

const readInstance = async (address: string): Promise<string | undefined> => {
	try {
		const {body} = await sendJsonRequest('GET', `${address}/v1/status`, {headers: {'siskinhub-operator': 'prove'}});
		return (body as {readonly instance?: string}).instance;
	} catch {
		return undefined;
	}
};

/** Reads the instance before and after the table, so that a restart in between is not mistaken for a revision that went backwards. */
const observe = async (name: string, address: string): Promise<TableObservation | undefined> => {
	const before = await readInstance(address);
	const at = Date.now();
	const table = await readTable(address);
	const after = await readInstance(address);
	return table && before !== undefined && before === after
		? {
			at, process: name, instance: before, ...table,
		}
		: undefined;
};

const observeAll = async ({cluster}: ProofContext, until: number): Promise<TableObservation[]> => {
	const observations: TableObservation[] = [];
	await Promise.all(cluster.entries.map(async ({name, address}) => {
		while (Date.now() < until) {
			const observation = await observe(name, address);
			if (observation) {
				observations.push(observation);
			}

			await sleep(OBSERVATION_INTERVAL_MS);
		}
	}));
	return observations;
};

const runOperator = async ({cluster, recorder, createRandom}: ProofContext, index: number, until: number): Promise<{readonly edits: ResolvedEdit[]; readonly unknown: number}> => {
	const random = createRandom(`operator-${index}`);
	const edits: ResolvedEdit[] = [];
	let unknown = 0;
	for (let count = 0; Date.now() < until; count++) {
		const first = pick(random, cluster.entries);
		const table = await readTable(first.address);
		const row = pick(random, ROWS);
		const cell = pick(random, CELLS);
		const value = 1 + Math.floor(random() * MAX_VALUE);
		const editId = `o${index}-${count}`;
		if (table) {
			const entries = [first, ...cluster.entries.filter(entry => entry !== first)];
			const {isKnown, ...answer} = await editCell({
				recorder, entries, operator: `operator-${index}`, editId, against: table.revision, row, cell, value,
			});
			unknown += isKnown ? 0 : 1;
			edits.push(...isKnown
				? [{
					editId, cell: `${row}.${cell}`, value, ...answer,
				}]
				: []);
		}

		await sleep(EDIT_PAUSE_MS * random());
	}

	return {edits, unknown};
};

const readTableHistory = async ({cluster}: ProofContext): Promise<readonly HistoryEdit[] | undefined> => {
	for (let attempt = 0; attempt < MAX_HISTORY_ATTEMPTS; attempt++) {
		try {
			const {address} = cluster.entries[attempt % cluster.entries.length]!;
			const {status, body} = await sendJsonRequest('GET', `${address}/v1/table/history?limit=1000`, {headers: {'siskinhub-operator': 'prove'}});
			if (status === 200) {
				return (body as {readonly edits: readonly HistoryEdit[]}).edits;
			}
		} catch {
			// The next attempt asks another entry.
		}

		await sleep(500);
	}

	return undefined;
};

/** Observations continue after the last edit, until it must be in force. */
export const tablePoint: ProofPoint<TableEvidence> = {
	name: 'table',
	cluster: {entries: 3, engines: 1, services: 0},
	faultsPerSecond: 0.6,
	faultDurationMs: [200, 4000],
	targets: context => listFaultTargets(context, ['kill', 'freeze', 'silence', 'platform-down', 'platform-slow', 'platform-lose-answers']),
	async drive(context) {
		const until = Date.now() + (context.seconds * 1000);
		const [observations, ...operators] = await Promise.all([
			observeAll(context, until + SETTLE_MS),
			...Array.from({length: OPERATOR_COUNT}, async (_, index) => runOperator(context, index, until)),
		]);
		return {
			observations,
			edits: operators.flatMap(({edits}) => edits),
			unknown: operators.reduce((sum, {unknown}) => sum + unknown, 0),
			history: await readTableHistory(context),
		};
	},
	check(_, {observations, edits, history, unknown}) {
		return [
			...history ? checkTable(observations, edits, history, PROPAGATION_BOUND_MS) : [{message: 'the table\'s history could not be read after the run', at: Date.now()}],
			...unknown > 0 ? [{message: `the fate of ${unknown} edits could not be learned`, at: Date.now()}] : [],
		];
	},
	isConclusive: (_, {edits}) => edits.filter(({revision}) => revision !== undefined).length >= 5 && edits.some(({revision}) => revision === undefined),
};
