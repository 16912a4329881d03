import {err, ok} from 'neverthrow';
import {expect, onTestFinished, test} from 'vitest';
import {applyEdit} from '@siskinhub/core/table/apply-edit.js';
import {EMPTY_TABLE_LOG_STATE} from '@siskinhub/core/table/empty-table-log-state.js';
import type {TableEdit} from '@siskinhub/core/table/table-edit.js';
import {createLogger} from '@siskinhub/observe/create-logger.js';
import type {createTable} from '@siskinhub/platform/table/create-table.js';
import {createHttpServer} from '../create-http-server.js';
import {createTableRoutes} from '../create-table-routes.js';

type Table = Pick<ReturnType<typeof createTable>, 'state' | 'submitEdit' | 'findEdit'>;

/** A table in memory, without a log on the platform. */
const createLocalTable = (): Table => {
	let state = EMPTY_TABLE_LOG_STATE;
	return {
		state: () => state,
		async submitEdit(edit) {
			return applyEdit(state, edit).map(next => {
				state = next;
				return {revision: next.table.revision};
			});
		},
		async findEdit({editId}) {
			const found = state.edits.find(edit => edit.editId === editId);
			return ok(found ? {kind: 'accepted', revision: found.revision} : {kind: 'never'});
		},
	};
};

const startServer = async (table: Table) => {
	const server = await createHttpServer({
		ip: '127.0.0.1', port: 0, routes: createTableRoutes({table, maxBodyBytes: 10_000}), log: createLogger({level: 'silent', host: 'test'}),
	});
	onTestFinished(async () => server.close());
	return async (method: string, path: string, body?: unknown) => {
		const res = await fetch(`${server.address}${path}`, {method, headers: {'siskinhub-operator': 'ana', connection: 'close'}, body: body === undefined ? undefined : JSON.stringify(body)});
		return {status: res.status, body: await res.json() as Record<string, unknown>};
	};
};

const createEdit = (editId: string, against: number, value: number) => ({
	editId,
	against,
	changes: [...(against === 0 ? [{kind: 'add-row', row: 'workspace/a'}] : []), {
		kind: 'set', row: 'workspace/a', cell: 'weight', value,
	}],
});

test('an accepted edit appears in the table and in its history', async () => {
	const ask = await startServer(createLocalTable());
	await expect(ask('POST', '/v1/table/edits', createEdit('e1', 0, 2))).resolves.toEqual({status: 200, body: {revision: 1}});
	await expect(ask('GET', '/v1/table')).resolves.toEqual({status: 200, body: {revision: 1, rows: {'workspace/a': {weight: {value: 2, revision: 1, who: 'ana'}}}}});
	await expect(ask('GET', '/v1/table/history?limit=5')).resolves.toMatchObject({body: {edits: [{revision: 1, editId: 'e1', who: 'ana'}]}});
	await expect(ask('GET', '/v1/table/edits/e1')).resolves.toEqual({status: 200, body: {revision: 1}});
	await expect(ask('GET', '/v1/table/edits/e2?against=1')).resolves.toMatchObject({status: 404, body: {code: 'unknown-request'}});
});

test('a conflict names the cell, its value and who changed it', async () => {
	const ask = await startServer(createLocalTable());
	await ask('POST', '/v1/table/edits', createEdit('e1', 0, 2));
	await ask('POST', '/v1/table/edits', createEdit('e2', 1, 3));
	await expect(ask('POST', '/v1/table/edits', createEdit('e3', 1, 4))).resolves.toMatchObject({
		status: 409,
		body: {
			code: 'edit-conflict', conflicts: [{
				row: 'workspace/a', cell: 'weight', value: 3, who: 'ana', revision: 2,
			}],
		},
	});
});

test.each([
	[{editId: 'e', against: 0, changes: []}, 'at least one change'],
	[{editId: 'e', against: -1, changes: []}, 'against'],
	[{editId: 'e', against: 0, changes: [{kind: 'paint', row: 'workspace/a'}]}, 'changes.0'],
	[{...createEdit('e', 0, 0), colour: 'red'}, 'colour'],
	[createEdit('e', 0, 0), 'workspace/a.weight: 0 is not'],
	[createEdit('e', 7, 1), 'is no revision of the table'],
])('%j is refused as a bad request and changes nothing', async (edit, message) => {
	const table = createLocalTable();
	const ask = await startServer(table);
	await expect(ask('POST', '/v1/table/edits', edit)).resolves.toMatchObject({status: 400, body: {code: 'bad-request', message: expect.stringContaining(message) as string}});
	expect(table.state()).toEqual(EMPTY_TABLE_LOG_STATE);
});

test.each([
	['not-written', 'not-run'],
	['unknown', 'unavailable'],
] as const)('while the platform is down, an edit with the fate %s is refused as %s', async (fate, code) => {
	const ask = await startServer({
		...createLocalTable(),
		submitEdit: async (_edit: TableEdit) => err({kind: 'unavailable', message: 'down', fate}),
		findEdit: async () => err({kind: 'unknown', message: 'The platform does not answer.'}),
	});
	await expect(ask('POST', '/v1/table/edits', createEdit('e1', 0, 2))).resolves.toMatchObject({status: 503, body: {code, retryAfterMs: 1000}});
	await expect(ask('GET', '/v1/table/edits/e1')).resolves.toMatchObject({status: 503, body: {code: 'unavailable'}});
});
