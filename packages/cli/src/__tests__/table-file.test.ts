import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fc, test} from '@fast-check/vitest';
import {expect, onTestFinished} from 'vitest';
import type {CellName} from '@siskinhub/core/table/cell-name.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import {parseConfig} from '@siskinhub/settings/parse-config.js';
import {renderTableFile} from '../format/render-table-file.js';
import {diffTable} from '../table/diff-table.js';
import type {RowCells} from '../table/row-cells.js';
import type {TableChange} from '../table/table-change.js';
import {TableFileSchema} from '../table/table-file-schema.js';
import {runCommand} from './run-command.js';
import {startFakeEntry} from './start-fake-entry.js';

const who = 'ana';
const ROWS = {
	'workspace/a': {weight: {value: 1, revision: 2, who}, turns: {value: 9, revision: 3, who}},
	'kind/old': {priority: {value: 4, revision: 1, who}},
};
const FILE = `workspace:
  a: {weight: 2}
  b:
`;

const writeTable = async (text: string): Promise<string> => {
	const folder = await mkdtemp(join(tmpdir(), 'siskinhub-'));
	onTestFinished(async () => rm(folder, {recursive: true}));
	const file = join(folder, 'table.yaml');
	await writeFile(file, text);
	return file;
};

const startEntry = async () => startFakeEntry({'GET /v1/table': [200, {revision: 3, rows: ROWS}], 'POST /v1/table/edits': [200, {revision: 4}]});

const CHANGES = [
	{kind: 'clear', row: 'workspace/a', cell: 'turns'},
	{
		kind: 'set', row: 'workspace/a', cell: 'weight', value: 2,
	},
	{kind: 'add-row', row: 'workspace/b'},
];

test('apply posts one edit and keeps rows that are not in the file', async () => {
	const entry = await startEntry();
	const output = await runCommand('table:apply', await writeTable(FILE), '--entry', entry.address);
	expect(entry.listPosted().map(({body}) => body)).toEqual([expect.objectContaining({against: 3, changes: CHANGES})]);
	expect(output.stdout).toContain('Accepted at revision 4: 3 changes');
	expect(output.stdout).toContain('left as they are (--prune removes them): kind/old');
});

test('apply --prune removes rows that are not in the file', async () => {
	const entry = await startEntry();
	await runCommand('table:apply', await writeTable(FILE), '--prune', '--entry', entry.address);
	expect(entry.listPosted()[0]?.body).toMatchObject({changes: [...CHANGES, {kind: 'remove-row', row: 'kind/old'}]});
});

test('diff shows the changes and posts nothing', async () => {
	const entry = await startEntry();
	const file = await writeTable(FILE);
	const output = await runCommand('table:diff', file, '--entry', entry.address);
	expect(output.stdout).toMatch(/workspace\/a\s*│ weight\s*│ 1\s*│ 2/v);
	const json = await runCommand('table:diff', file, '--json', '--entry', entry.address);
	expect(JSON.parse(json.stdout)).toEqual({revision: 3, changes: CHANGES, unlisted: ['kind/old']});
	expect(entry.listPosted()).toEqual([]);
});

test('a file that matches the table changes nothing', async () => {
	const entry = await startEntry();
	const file = await writeTable(renderTableFile({revision: 3, rows: ROWS}));
	const output = await runCommand('table:apply', file, '--prune', '--entry', entry.address);
	expect(output.stdout).toContain('Nothing to change');
	expect(entry.listPosted()).toEqual([]);
});

test('every error in a file is printed with its line, and nothing is posted', async () => {
	const entry = await startEntry();
	const file = await writeTable(`workspace:
  a: {weight: 0, colour: red}
  "b c": {}
team: {}
kind:
  x: {turns: 1.5}
`);
	const output = await runCommand('table:apply', file, '--entry', entry.address);
	expect(output.exitCode).toBe(2);
	expect(output.stderr.trimEnd().split('\n').map(line => line.replace(file, 'table.yaml'))).toEqual([
		'table.yaml:2: workspace.a.weight: expected a whole number, above 0, found 0',
		expect.stringMatching(/^table\.yaml:2: workspace\.a\.colour: expected one of the keys weight, .*, found the unknown key colour$/v),
		expect.stringMatching(/^table\.yaml:3: workspace\.b c: expected a row name of 1 to 63 /v),
		expect.stringMatching(/^table\.yaml:4: team: expected one of the keys deployment, kind, workspace/v),
		'table.yaml:6: kind.x.turns: expected a whole number of turns, 0 or more, found 1.5',
	]);
	expect(entry.listPosted()).toEqual([]);
});

const cellsArbitrary = fc.dictionary(fc.constantFrom<CellName>('weight', 'budget', 'turns'), fc.integer({min: 1, max: 5}));
const rowsArbitrary = fc.dictionary(fc.constantFrom('workspace/a', 'workspace/b', 'kind/a', 'deployment/x.y'), cellsArbitrary);

const toView = (rows: Readonly<Record<string, RowCells>>) => ({
	revision: 1,
	rows: Object.fromEntries(Object.entries(rows).map(([row, cells]) =>
		[row, Object.fromEntries(Object.entries(cells).map(([cell, value]) => [cell, {value, revision: 1, who}]))])),
});

const applyChange = (rows: Map<string, Map<string, number>>, change: TableChange): void => {
	switch (change.kind) {
		case 'add-row': {
			rows.set(change.row, new Map());
			break;
		}

		case 'remove-row': {
			rows.delete(change.row);
			break;
		}

		case 'set': {
			rows.get(change.row)!.set(change.cell, change.value);
			break;
		}

		case 'clear': {
			rows.get(change.row)!.delete(change.cell);
			break;
		}
	}
};

test.prop([rowsArbitrary, rowsArbitrary])('the changes of a diff with pruning make the table equal to the file', (present, declared) => {
	const {changes} = diffTable(toView(present), new Map(Object.entries(declared) as Array<[RowKey, RowCells]>), true);
	const rows = new Map(Object.entries(present).map(([row, cells]) => [row, new Map(Object.entries(cells))]));
	for (const change of changes) {
		applyChange(rows, change);
	}

	expect(Object.fromEntries([...rows].map(([row, cells]) => [row, Object.fromEntries(cells)]))).toEqual(declared);
});

test.prop([rowsArbitrary])('a table rendered as a file is read back unchanged', rows => {
	const read = parseConfig('table.yaml', renderTableFile(toView(rows)), TableFileSchema)._unsafeUnwrap();
	const flat = Object.entries(read).flatMap(([kind, group]) => Object.entries(group ?? {}).map(([name, cells]) => [`${kind}/${name}`, cells]));
	expect(Object.fromEntries(flat)).toEqual(rows);
});
