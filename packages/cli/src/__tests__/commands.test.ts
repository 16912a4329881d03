import {join} from 'node:path';
import {expect, test} from 'vitest';
import {runCommand} from './run-command.js';
import {startFakeEntry} from './start-fake-entry.js';

const UNREACHABLE = 'http://127.0.0.1:1';
const TABLE = {revision: 7, rows: {'workspace/a': {budget: {value: 300, revision: 5, who: 'ana'}}, 'kind/k': {}}};
const PROGRAM = {
	program: 'p1-a', workspace: 'a', kind: 'k', deployment: 'd', state: 'open', nextTurn: 2, spentTokens: 40,
};
const STATUS = {
	host: 'entry-1', instance: 'i', dataCentre: 'delta-a', version: '0.1.0', tableRevision: 7, platform: 'up',
	shards: [{shard: 0, epoch: 1, programs: 3}], openPrograms: 3, runningCalls: 1, leaving: false,
};
const TURN = {
	turn: 1, requestId: 'r1', input: [], output: 'hi', promptTokens: 30, outputTokens: 10, digest: 'd',
};
const UPSTREAM = {
	id: 'trenza-1', kind: 'model', target: 'modelos-trenza', dataCentre: 'planta-norte', state: 'live', running: 2, queued: 5, reportAgeMs: 80, heldPrefixes: 9,
};

const startEntry = async () => startFakeEntry({
	'GET /v1/table': [200, TABLE],
	'GET /v1/table/history': [200, {
		edits: [{
			revision: 7, editId: 'e7', who: 'ana', at: 0, changes: [{
				kind: 'set', row: 'workspace/a', cell: 'budget', value: 300,
			}],
		}],
	}],
	'GET /v1/table/edits/*': [200, {revision: 7}],
	'GET /v1/programs/p1-a': [200, PROGRAM],
	'GET /v1/programs/p1-a/history': [200, {program: 'p1-a', digest: 'd', turns: [TURN]}],
	'POST /v1/programs/p1-a/end': [200, {program: 'p1-a', state: 'ended'}],
	'GET /v1/upstreams': [200, {upstreams: [UPSTREAM]}],
	'POST /v1/upstreams/trenza-1/drain': [200, {id: 'trenza-1', state: 'leaving'}],
	'GET /v1/status': [200, STATUS],
});

test.each([
	['table:get', [], [/workspace\/a\s*│ 300/v, /revision 7/v]],
	['table:get', ['workspace/a'], [/budget\s*│ 300\s*│ tokens\s*│ ana\s*│ 5/v]],
	['table:get', ['--yaml'], [/^kind:\n {2}k: \{\}\nworkspace:\n {2}a:\n {4}budget: 300\n$/v]],
	['table:history', [], [/7\s*│ 1970-01-01 00:00:00Z │ ana │ workspace\/a\.budget = 300 │ e7/v]],
	['table:history', ['--edit', 'e7'], [/edit e7 was accepted at revision 7/v]],
	['program:show', ['p1-a'], [/p1-a\s*│ a\s*│ k\s*│ d/v, /1\s*│ r1\s*│ 30\s*│ 10/v]],
	['program:end', ['p1-a'], [/Program p1-a has ended/v]],
	['upstream:list', [], [/trenza-1\s*│ model\s*│ modelos-trenza/v]],
	['upstream:drain', ['trenza-1'], [/trenza-1 is leaving/v]],
	['status', [], [/entry-1\s*│ delta-a/v]],
] as const)('%s %j prints the data of the entry, and --json prints JSON', async (id, argv, patterns) => {
	const entry = await startEntry();
	const output = await runCommand(id, ...argv, '--entry', entry.address);
	expect(output).toMatchObject({stderr: '', exitCode: 0});
	for (const pattern of patterns) {
		expect(output.stdout).toMatch(pattern);
	}

	const json = await runCommand(id, ...argv, '--entry', entry.address, '--json');
	expect(JSON.parse(json.stdout)).toBeTypeOf('object');
});

test('a refusal is reported with its code, and a read falls back to the next entry if one is unreachable', async () => {
	const entry = await startEntry();
	const refused = await runCommand('program:show', 'p9-x', '--entry', entry.address);
	expect(refused).toMatchObject({stderr: 'Refused (unknown-request): There is no such thing.\n', exitCode: 1});
	const read = await runCommand('table:get', '--entry', `${UNREACHABLE},${entry.address}`);
	expect(read.exitCode).toBe(0);
	const unreachable = await runCommand('table:get', '--entry', UNREACHABLE);
	expect(unreachable).toMatchObject({stderr: expect.stringContaining('No entry answered') as string, exitCode: 1});
});

test('an edit that never took effect and a table without rows are reported as such', async () => {
	const entry = await startFakeEntry({'GET /v1/table': [200, {revision: 0, rows: {}}]});
	const fate = await runCommand('table:history', '--edit', 'e9', '--entry', entry.address);
	expect(fate).toMatchObject({stdout: expect.stringContaining('did not take effect and never will') as string, exitCode: 0});
	const table = await runCommand('table:get', '--entry', entry.address);
	expect(table.stdout).toContain('The table has no rows (revision 0)');
});

test('a program is still shown if its history cannot be read', async () => {
	const entry = await startFakeEntry({
		'GET /v1/programs/p1-a': [200, PROGRAM],
		'GET /v1/programs/p1-a/history': [503, {code: 'unavailable', message: 'Too few holders answer.'}],
	});
	const output = await runCommand('program:show', 'p1-a', '--entry', entry.address);
	expect(output).toMatchObject({exitCode: 0, stdout: expect.stringMatching(/p1-a[\s\S]*turns cannot be read now.*Too few holders answer/v) as string});
});

test('status names an entry that does not answer and still shows the others', async () => {
	const entry = await startEntry();
	const output = await runCommand('status', '--entry', `${entry.address},${UNREACHABLE}`);
	expect(output.stdout).toContain('entry-1');
	expect(output).toMatchObject({stderr: expect.stringContaining(`No answer from ${UNREACHABLE}`) as string, exitCode: 1});
});

test.each([
	[[], 'No entry is configured'],
	[['--entry', 'http://entry.example:7000'], 'is not an entry address'],
	[['--entry', UNREACHABLE, '--operator', 'a b'], 'is not a valid operator name'],
	[['--settings', 'no-such-folder/cli.yaml'], 'no-such-folder/cli.yaml: expected a settings file that can be read, found ENOENT'],
	[['--colour', 'red'], 'Nonexistent flag'],
])('%j is reported as a usage error', async (argv, message) => {
	const output = await runCommand('table:get', ...argv);
	expect(output).toMatchObject({stderr: expect.stringContaining(message) as string, exitCode: 2});
});

test.each([
	['entry.yaml', 0, 'no faults (settings of siskinhub-entry)'],
	['sidecar-faults.yaml', 1, 'sidecar-faults.yaml:4: upstream.slots: expected a whole number from 1 to 100000, found "many"'],
	['unknown.yaml', 2, 'Cannot tell which binary'],
])('settings check %s', async (file, exitCode, message) => {
	const output = await runCommand('settings:check', join(import.meta.dirname, 'fixtures', file));
	expect(output.exitCode).toBe(exitCode);
	expect(output.stdout + output.stderr).toContain(message);
});
