/**
Adds rows to the operators' table of a deployment, and waits until every entry
has them.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {Deployment} from './deployment.js';

const OPERATOR = 'deployment';
const RETRY_INTERVAL_MS = 200;
const ATTEMPTS = 100;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;

type Cells = Readonly<Record<string, number>>;
type TableView = {readonly revision: number; readonly rows: Readonly<Record<string, Cells>>};

const send = async (url: string, body?: unknown): Promise<{readonly status: number; readonly value: unknown}> => {
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

/** Repeats the edit under one id until it is accepted; the revision it made. */
const postEdit = async (address: string, rows: Readonly<Record<string, Cells>>): Promise<number> => {
	const editId = `rows-${Date.now()}`;
	let answer = '';
	for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
		const table = await send(`${address}/v1/table`);
		if (table.status === HTTP_OK) {
			const {revision} = table.value as TableView;
			const edit = await send(`${address}/v1/table/edits`, {editId, against: revision, changes: listChanges(rows)});
			if (edit.status === HTTP_OK) {
				return (edit.value as {readonly revision: number}).revision;
			}

			answer = JSON.stringify(edit.value);
		}

		await sleep(RETRY_INTERVAL_MS);
	}

	throw new Error(`the table took no rows; the last answer: ${answer}`);
};

const waitForRevision = async (address: string, revision: number): Promise<void> => {
	for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
		const {status, value} = await send(`${address}/v1/table`);
		if (status === HTTP_OK && (value as TableView).revision >= revision) {
			return;
		}

		await sleep(RETRY_INTERVAL_MS);
	}

	throw new Error(`${address} never had revision ${revision} of the table`);
};

/** An entry without the table refuses the path as a bad request. */
const servesTable = async (address: string): Promise<boolean> => {
	const {status} = await send(`${address}/v1/table`);
	return status !== HTTP_BAD_REQUEST;
};

/** Resolves with the revision that the rows made; undefined if the entries serve no table. Rejects if they refuse the rows. */
export const addTableRows = async ({entries}: Pick<Deployment, 'entries'>, rows: Readonly<Record<string, Cells>>): Promise<number | undefined> => {
	const [first] = entries;
	if (!first || !await servesTable(first.address)) {
		return undefined;
	}

	const revision = await postEdit(first.address, rows);
	await Promise.all(entries.map(async ({address}) => waitForRevision(address, revision)));
	return revision;
};
