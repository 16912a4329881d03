import {expect, test} from 'vitest';
import {runCommand} from './run-command.js';
import {startFakeEntry} from './start-fake-entry.js';

const ABSENT = 'http://127.0.0.1:1';
const TABLE = [200, {revision: 7, rows: {'workspace/a': {budget: {value: 300, revision: 5, who: 'ana'}}}}] as const;
const EDIT = ['workspace/a.budget', '700', '--operator', 'bruno'];

test('an accepted edit prints its revision', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output).toEqual({stdout: 'Accepted at revision 8: workspace/a.budget = 700\n', stderr: '', exitCode: 0});
	expect(entry.posted()).toEqual([expect.objectContaining({
		operator: 'bruno',
		body: {
			editId: expect.stringMatching(/^[\da-f\-]{36}$/v) as string,
			against: 7,
			changes: [{
				kind: 'set', row: 'workspace/a', cell: 'budget', value: 700,
			}],
		},
	})]);
});

test('"none" clears the cell, and --against names the revision that the operator saw', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	await runCommand('table:set', 'workspace/a.budget', 'none', '--against', '5', '--entry', entry.address);
	expect(entry.posted()[0]?.body).toMatchObject({against: 5, changes: [{kind: 'clear', row: 'workspace/a', cell: 'budget'}]});
});

test('a conflict names the value it met and who wrote it', async () => {
	const conflicts = [{
		row: 'workspace/a', cell: 'budget', value: 500, who: 'ana', revision: 8,
	}];
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [409, {code: 'edit-conflict', message: 'The cell changed.', conflicts}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output.exitCode).toBe(1);
	expect(output.stderr).toContain('workspace/a.budget now holds 500, written by ana at revision 8.');
	expect(entry.posted()).toHaveLength(1);
	const json = await runCommand('table:set', ...EDIT, '--entry', entry.address, '--json');
	expect(JSON.parse(json.stdout)).toMatchObject({error: {code: 'edit-conflict', conflicts}});
	expect(json.exitCode).toBe(1);
});

test('a lost answer is looked up, also at another entry, and the edit is posted once', async () => {
	const first = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': 'cut', 'GET /v1/table/edits/*': 'cut'});
	const second = await startFakeEntry({'GET /v1/table/edits/*': [200, {revision: 9}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', `${first.address},${second.address}`);
	expect(output).toMatchObject({stdout: expect.stringContaining('Accepted at revision 9') as string, exitCode: 0});
	expect([...first.posted(), ...second.posted()]).toHaveLength(1);
});

test.each([
	['a cut connection', 'cut'],
	['an answer that says nothing', [502, 'bad gateway']],
	['an entry that cannot tell yet', [503, {code: 'unavailable', message: 'The platform does not answer.'}]],
] as const)('after %s, an edit that did not take effect is said to have failed', async (_name, answer) => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': answer});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output.exitCode).toBe(1);
	expect(output.stderr).toContain('the edit did not take effect and will not');
	expect(entry.posted()).toHaveLength(1);
});

test('an edit whose fate nobody knows is said to be unknown', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': 'cut', 'GET /v1/table/edits/*': [503, {code: 'unavailable', message: 'Later.'}]});
	const output = await runCommand('table:set', ...EDIT, '--wait', '1', '--entry', entry.address);
	const {editId} = entry.posted()[0]?.body as {editId: string};
	expect(output.exitCode).toBe(3);
	expect(output.stderr).toContain('no entry could say whether the edit took effect');
	expect(output.stderr).toContain(editId);
	expect(entry.posted()).toHaveLength(1);
	expect(entry.requests.filter(({route}) => route === 'GET /v1/table/edits/*').length).toBeGreaterThan(1);
});

test('an entry that cannot be reached has not got the edit, so the next one gets it', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', `${ABSENT},${entry.address}`);
	expect(output.exitCode).toBe(0);
	expect(entry.posted()).toHaveLength(1);
});

test('an unknown row is added only when asked', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const refused = await runCommand('table:set', 'workspace/b.weight', '2', '--entry', entry.address);
	expect(refused.exitCode).toBe(1);
	expect(entry.posted()).toEqual([]);
	await runCommand('table:set', 'workspace/b.weight', '2', '--new-row', '--entry', entry.address);
	expect(entry.posted()[0]?.body).toMatchObject({changes: [{kind: 'add-row', row: 'workspace/b'}, {kind: 'set', cell: 'weight', value: 2}]});
});

test.each([
	['workspace/a.colour', '1', 'is no cell of the table'],
	['team/a.weight', '1', 'names no cell'],
	['weight', '1', 'names no cell'],
	['workspace/a.weight', '0', 'expected a whole number, above 0'],
	['workspace/a.turns', '1.5', 'expected a whole number of turns, 0 or more'],
	['workspace/a.budget', 'lots', 'expected a whole number of tokens, 0 or more'],
	['workspace/a.budget', '1e3', 'expected a whole number of tokens, 0 or more'],
])('%s = %s is refused before anything is sent', async (target, value, message) => {
	const output = await runCommand('table:set', target, value, '--entry', ABSENT);
	expect(output.exitCode).toBe(2);
	expect(output.stderr).toContain(message);
});
