/**
Adds rows to the operators' table of a deployment through its first entry, and
waits until every entry serves them.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Deployment} from './deployment.js';

const OPERATOR = 'deployment';
const RETRY_INTERVAL_MS = 200;
const MAX_ATTEMPTS = 100;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;

type Cells = Readonly<Record<string, number>>;
type TableView = {readonly revision: number; readonly rows: Readonly<Record<string, Cells>>};

const sendRequest = async (url: string, body?: unknown): Promise<{readonly status: number; readonly value: unknown}> => {
	const response = await fetch(url, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {'siskinhub-operator': OPERATOR, 'content-type': 'application/json'},
		body: body === undefined ? undefined : JSON.stringify(body),
	});
	return {status: response.status, value: await response.json()};
};

const listChanges = (rows: Readonly<Record<string, Cells>>) => Object.entries(rows).flatMap(([row, cells]) => [
	{kind: 'add-row', row},
	...Object.entries(cells).map(([cell, value]) => ({
		kind: 'set', row, cell, value,
	})),
]);

/** Repeats the edit under one id until it is accepted and resolves with the table's new revision. */
const postEdit = async (address: string, rows: Readonly<Record<string, Cells>>): Promise<number> => {
	const editId = `rows-${Date.now()}`;
	let lastResponse = '';
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const table = await sendRequest(`${address}/v1/table`);
		if (table.status === HTTP_OK) {
			const {revision} = table.value as TableView;
			const edit = await sendRequest(`${address}/v1/table/edits`, {editId, against: revision, changes: listChanges(rows)});
			if (edit.status === HTTP_OK) {
				return (edit.value as {readonly revision: number}).revision;
			}

			lastResponse = JSON.stringify(edit.value);
		}

		await sleep(RETRY_INTERVAL_MS);
	}

	throw new Error(`the first entry did not accept the table rows; last response: ${lastResponse}`);
};

const waitForRevision = async (address: string, revision: number): Promise<void> => {
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const {status, value} = await sendRequest(`${address}/v1/table`);
		if (status === HTTP_OK && (value as TableView).revision >= revision) {
			return;
		}

		await sleep(RETRY_INTERVAL_MS);
	}

	throw new Error(`${address} did not reach revision ${revision} of the table in time`);
};

/** An entry without an operators' table responds to the path with 400. */
const servesTable = async (address: string): Promise<boolean> => {
	const {status} = await sendRequest(`${address}/v1/table`);
	return status !== HTTP_BAD_REQUEST;
};

/** Resolves with the table's revision that holds the rows, or `undefined` if the entries serve no table. Rejects if the rows are not accepted or do not reach every entry. */
export const addTableRows = async ({entries}: Pick<Deployment, 'entries'>, rows: Readonly<Record<string, Cells>>): Promise<number | undefined> => {
	const [first] = entries;
	if (!first || !await servesTable(first.address)) {
		return undefined;
	}

	const revision = await postEdit(first.address, rows);
	await Promise.all(entries.map(async ({address}) => waitForRevision(address, revision)));
	return revision;
};
