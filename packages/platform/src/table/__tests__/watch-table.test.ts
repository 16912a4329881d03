import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import type {Revision} from '@siskinhub/core/ids/revision.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import {createPlatformServer} from '@siskinhub/standins/platform/create-platform-server.js';
import {unwrap} from '../../__tests__/unwrap.js';
import {createPlatformClient} from '../../create-platform-client.js';
import {createTable} from '../create-table.js';

// Upper limit for an accepted edit to be in force everywhere.
const MAX_PROPAGATION_MS = 11_000;

let server: Awaited<ReturnType<typeof createPlatformServer>>;
let commits = 0;
const closers: Array<() => void> = [];

beforeEach(async () => {
	server = await createPlatformServer({ip: '127.0.0.1', port: 0});
});

afterEach(async () => {
	for (const close of closers.splice(0)) {
		close();
	}

	await server.close();
});

const openTable = (writer: string, isWatcher: boolean) => {
	const client = createPlatformClient({address: server.address, callTimeoutMs: 500});
	const table = createTable({
		client, writer, createCommitId: () => `c${commits++}`, isWatcher: () => isWatcher,
	});
	closers.push(() => {
		table.close();
		void client.close();
	});
	return table;
};

const putFaults = async (faults: Record<string, unknown>) => fetch(`${server.address}/faults`, {method: 'PUT', body: JSON.stringify(faults)});

const addRow = (name: string, against: number) => ({
	editId: name, who: 'ana', at: 0, against: against as Revision, changes: [{kind: 'add-row' as const, row: `workspace/${name}` as RowKey}],
});

test('a watcher receives edits even if its watch hung during an outage; other processes get them from a neighbour', async () => {
	const editor = openTable('editor', false);
	const watcher = openTable('watcher', true);
	const neighbour = openTable('neighbour', false);
	await unwrap(editor.submitEdit(addRow('a', 0)));
	await expect.poll(() => watcher.revision(), {timeout: MAX_PROPAGATION_MS}).toBe(1);
	await putFaults({down: true});
	expect(await editor.submitEdit(addRow('b', 1), {timeoutMs: 700})).toMatchObject({error: {kind: 'unavailable'}});
	await putFaults({down: false});
	await unwrap(editor.submitEdit(addRow('c', 1)));
	await expect.poll(() => watcher.revision(), {timeout: MAX_PROPAGATION_MS}).toBe(editor.revision());
	expect(neighbour.revision()).toBe(0);
	neighbour.applyDelta(watcher.getDeltaSince(neighbour.revision())!);
	expect(neighbour.state().table).toEqual(editor.state().table);
});

test(
	'an edit whose response was lost is found in the log',
	async () => {
		const editor = openTable('editor', false);
		await putFaults({loseAnswers: 1});
		const revision = await unwrap(editor.submitEdit(addRow('a', 0)));
		expect(revision).toEqual({revision: 1});
		expect(await unwrap(openTable('other', false).findEdit({editId: 'a'}))).toEqual({kind: 'accepted', revision: 1});
		expect(await unwrap(openTable('other', false).findEdit({editId: 'z'}))).toEqual({kind: 'never'});
		expect(await unwrap(openTable('other', false).findEdit({editId: 'no id'}))).toEqual({kind: 'never'});
		expect(await editor.submitEdit({...addRow('z', 1)})).toMatchObject({error: {kind: 'abandoned'}});
	},
);
