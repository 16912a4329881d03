/**
Measures what an edit of the table costs as the table grows, and how long the
edit takes to reach an entry that does not watch the platform's service.
*/
import {request} from 'undici';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import {fetchJson} from '../cluster/fetch-json.js';
import {countPlatformCalls} from '../cluster/count-platform-calls.js';
import {waitUntil} from '../cluster/wait-until.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const ROW_COUNTS = [100, 500, 1000, 2000];
const MAX_CHANGES_PER_EDIT = 1000;
const EDITS = 8;
const ENTRIES = ['entry-1', 'entry-2', 'entry-3'];

type TableView = {readonly revision: number};
type Change = Readonly<Record<string, unknown>>;

const readKnownRevision = async (address: string): Promise<number> => {
	const {tableRevision} = await fetchJson(`${address}/v1/status`) as {readonly tableRevision: number};
	return tableRevision;
};

const postEdit = async (address: string, changes: readonly Change[]): Promise<number> => {
	const {body, statusCode} = await request(`${address}/v1/table/edits`, {
		method: 'POST',
		headers: {'siskinhub-operator': 'capacity', 'content-type': 'application/json'},
		body: JSON.stringify({editId: `edit-${performance.now()}`, against: await readKnownRevision(address), changes}),
	});
	const answer = await body.json();
	if (statusCode >= 300) {
		throw new Error(`table edit failed with HTTP status ${statusCode}: ${JSON.stringify(answer)}`);
	}

	return (answer as TableView).revision;
};

const waitForRevision = async (address: string, revision: number): Promise<number> => waitUntil(
	`revision ${revision}`,
	async () => await readKnownRevision(address) >= revision,
);

/** Adds rows with a weight and a budget each, in as few edits as possible. */
const addRows = async (address: string, from: number, to: number): Promise<void> => {
	for (let next = from; next < to;) {
		const changes: Change[] = [];
		for (; next < to && changes.length + 3 <= MAX_CHANGES_PER_EDIT; next++) {
			const row = `workspace/w${next}`;
			changes.push({kind: 'add-row', row}, {
				kind: 'set', row, cell: 'weight', value: 1,
			}, {
				kind: 'set', row, cell: 'budget', value: 1_000_000,
			});
		}

		await postEdit(address, changes);
	}
};

const startEntries = async (root: string) => {
	const cluster = await createCapacityCluster(root);
	const entries = await Promise.all(ENTRIES.map(async name => cluster.builder.addEntry({
		name, dataCentre: 'centre-1', platformAddress: cluster.platform.address, holdsHistory: true, settings: {shards: 1, log: {level: 'error'}},
	})));
	await cluster.start(entries.map(({host}) => host));
	return {...cluster, entries};
};

/** Returns one series over the number of rows. */
export const measureTable = async (root: string): Promise<Series[]> => {
	const cluster = await startEntries(root);
	const [editor, , reader] = cluster.entries;
	if (!editor || !reader) {
		throw new Error('expected a cluster of three entries');
	}

	try {
		const points = [];
		let rows = 0;
		for (const size of ROW_COUNTS) {
			await addRows(editor.address, rows, size);
			rows = size;
			const revision = await readKnownRevision(editor.address);
			await waitForRevision(reader.address, revision);
			const propagationMs: number[] = [];
			const callsBefore = await countPlatformCalls(cluster.platform.address);
			const {rates: [editorUsage, readerUsage], seconds} = await measureUsage([editor.process, reader.process], async () => {
				for (let edit = 0; edit < EDITS; edit++) {
					const edited = await postEdit(editor.address, [{
						kind: 'set', row: 'workspace/w0', cell: 'weight', value: edit + 1,
					}]);
					propagationMs.push(await waitForRevision(reader.address, edited));
				}
			});
			points.push({
				x: size,
				values: {
					'editor cpu ms/edit': editorUsage!.cpuMsPerS * seconds / EDITS,
					'reader cpu ms/edit': readerUsage!.cpuMsPerS * seconds / EDITS,
					'editor MB': editorUsage!.residentMb,
					'reader MB': readerUsage!.residentMb,
					'platform calls/edit': (await countPlatformCalls(cluster.platform.address) - callsBefore) / EDITS,
					'spread ms mean': propagationMs.reduce((sum, ms) => sum + ms, 0) / EDITS,
					'spread ms most': Math.max(...propagationMs),
				},
			});
		}

		return [{
			name: 'rows of the table',
			xName: 'rows',
			note: `${EDITS} edits of one cell one after the other, two cells a row; the reader is no watcher. Includes what entries do at rest and the reading over HTTP.`,
			points,
		}];
	} finally {
		await cluster.close();
	}
};
