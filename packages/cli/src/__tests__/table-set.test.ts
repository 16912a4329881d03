import {expect, test} from 'vitest';
import {runCommand} from './run-command.js';
import {startFakeEntry} from './start-fake-entry.js';

const UNREACHABLE = 'http://127.0.0.1:1';
const TABLE = [200, {revision: 7, rows: {'workspace/a': {budget: {value: 300, revision: 5, who: 'ana'}}}}] as const;
const EDIT = ['workspace/a.budget', '700', '--operator', 'bruno'];

test('an accepted edit prints its revision', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output).toEqual({stdout: 'Accepted at revision 8: workspace/a.budget = 700\n', stderr: '', exitCode: 0});
	expect(entry.listPosted()).toEqual([expect.objectContaining({
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
	expect(entry.listPosted()[0]?.body).toMatchObject({against: 5, changes: [{kind: 'clear', row: 'workspace/a', cell: 'budget'}]});
});

test('a conflict reports the current value and who wrote it', async () => {
	const conflicts = [{
		row: 'workspace/a', cell: 'budget', value: 500, who: 'ana', revision: 8,
	}];
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [409, {code: 'edit-conflict', message: 'The cell changed.', conflicts}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output.exitCode).toBe(1);
	expect(output.stderr).toContain('workspace/a.budget now holds 500, written by ana at revision 8.');
	expect(entry.listPosted()).toHaveLength(1);
	const json = await runCommand('table:set', ...EDIT, '--entry', entry.address, '--json');
	expect(JSON.parse(json.stdout)).toMatchObject({error: {code: 'edit-conflict', conflicts}});
	expect(json.exitCode).toBe(1);
});

test('after a lost answer, the entries are asked whether the edit took effect, and the edit is posted only once', async () => {
	const first = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': 'cut', 'GET /v1/table/edits/*': 'cut'});
	const second = await startFakeEntry({'GET /v1/table/edits/*': [200, {revision: 9}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', `${first.address},${second.address}`);
	expect(output).toMatchObject({stdout: expect.stringContaining('Accepted at revision 9') as string, exitCode: 0});
	expect([...first.listPosted(), ...second.listPosted()]).toHaveLength(1);
});

test.each([
	['a cut connection', 'cut'],
	['an unreadable answer', [502, 'bad gateway']],
	['an entry that cannot tell yet', [503, {code: 'unavailable', message: 'The platform does not answer.'}]],
] as const)('after %s, an edit that did not take effect is reported as failed', async (_name, answer) => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': answer});
	const output = await runCommand('table:set', ...EDIT, '--entry', entry.address);
	expect(output.exitCode).toBe(1);
	expect(output.stderr).toContain('the edit did not take effect and never will');
	expect(entry.listPosted()).toHaveLength(1);
});

test('an edit is reported as unknown if no entry can tell whether it took effect', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': 'cut', 'GET /v1/table/edits/*': [503, {code: 'unavailable', message: 'Later.'}]});
	const output = await runCommand('table:set', ...EDIT, '--wait', '1', '--entry', entry.address);
	const {editId} = entry.listPosted()[0]?.body as {editId: string};
	expect(output.exitCode).toBe(3);
	expect(output.stderr).toContain('no entry could say whether the edit took effect');
	expect(output.stderr).toContain(editId);
	expect(entry.listPosted()).toHaveLength(1);
	expect(entry.requests.filter(({route}) => route === 'GET /v1/table/edits/*').length).toBeGreaterThan(1);
});

test('if an entry cannot be reached, the edit is posted to the next one', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const output = await runCommand('table:set', ...EDIT, '--entry', `${UNREACHABLE},${entry.address}`);
	expect(output.exitCode).toBe(0);
	expect(entry.listPosted()).toHaveLength(1);
});

test('an unknown row is added only with --new-row', async () => {
	const entry = await startFakeEntry({'GET /v1/table': TABLE, 'POST /v1/table/edits': [200, {revision: 8}]});
	const refused = await runCommand('table:set', 'workspace/b.weight', '2', '--entry', entry.address);
	expect(refused.exitCode).toBe(1);
	expect(entry.listPosted()).toEqual([]);
	await runCommand('table:set', 'workspace/b.weight', '2', '--new-row', '--entry', entry.address);
	expect(entry.listPosted()[0]?.body).toMatchObject({changes: [{kind: 'add-row', row: 'workspace/b'}, {kind: 'set', cell: 'weight', value: 2}]});
});

test.each([
	['workspace/a.colour', '1', 'is not a cell of the table'],
	['team/a.weight', '1', 'does not name a cell'],
	['weight', '1', 'does not name a cell'],
	['workspace/a.weight', '0', 'expected a whole number, above 0'],
	['workspace/a.turns', '1.5', 'expected a whole number of turns, 0 or more'],
	['workspace/a.budget', 'lots', 'expected a whole number of tokens, 0 or more'],
	['workspace/a.budget', '1e3', 'expected a whole number of tokens, 0 or more'],
])('%s = %s is refused before anything is sent', async (target, value, message) => {
	const output = await runCommand('table:set', target, value, '--entry', UNREACHABLE);
	expect(output.exitCode).toBe(2);
	expect(output.stderr).toContain(message);
});
