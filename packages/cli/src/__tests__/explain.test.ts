import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {runCommand} from './run-command.js';

const formatLine = (time: string, host: string, fields: Readonly<Record<string, unknown>>) => JSON.stringify({
	time, level: 'info', host, msg: 'call', ...fields,
});

describe('explain', () => {
	let folder: string;
	let first: string;
	let second: string;
	beforeAll(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'explain-'));
		first = path.join(folder, 'g1.log');
		second = path.join(folder, 'g2.log');
		await writeFile(first, [
			'not JSON, although it contains r-2',
			formatLine('2026-12-04T10:00:02.000Z', 'g1', {
				requestId: 'r-2', programId: 'p', outcome: 'refused', status: 503, durationMs: 15, version: 4, route: 'stock', service: 'orders', trail: ['u1 not-run: connect ECONNREFUSED', 'u2 not-run: refused with status 503'],
			}),
		].join('\n'));
		await writeFile(second, `   9.1 g2 ${formatLine('2026-12-04T10:00:01.000Z', 'g2', {
			requestId: 'r-1', programId: 'p', outcome: 'done', status: 200, durationMs: 2652, firstEventMs: 1165, version: 4, route: 'chat', service: 'models', trail: ['u9 done'],
		})}\n`);
	});
	afterAll(async () => {
		await rm(folder, {recursive: true});
	});

	it('explains where a request went and why it was refused', async () => {
		const {stdout, exitCode} = await runCommand('explain', 'r-2', first, second);
		expect(exitCode).toBe(0);
		expect(stdout).toContain('g1 took the request; not run: every upstream that was asked refused it');
		expect(stdout).toContain('Attempt 1: upstream u1 not-run: connect ECONNREFUSED.');
	});

	it('sorts the requests of a program from several files by time', async () => {
		const {stdout} = await runCommand('explain', 'p', first, second);
		expect(stdout.indexOf('r-1')).toBeLessThan(stdout.indexOf('r-2'));
		expect(stdout).toContain('the first event after 1165 ms');
	});

	it('prints the lines as JSON', async () => {
		const {stdout} = await runCommand('explain', 'r-1', second, '--json');
		expect(JSON.parse(stdout)).toMatchObject({id: 'r-1', lines: [{host: 'g2', msg: 'call'}]});
	});

	it.each([
		['no file', ['r-1'], 'No log file was given'],
		['a file that is not there', ['r-1', '/nowhere.log'], 'cannot be read'],
	])('fails with a message that says what is missing: %s', async (_name, argv, message) => {
		const {stderr, exitCode} = await runCommand('explain', ...argv);
		expect(stderr).toContain(message);
		expect(exitCode).not.toBe(0);
	});

	it('fails if no line contains the id', async () => {
		const {stderr, exitCode} = await runCommand('explain', 'r-9', first);
		expect(stderr).toContain('No line');
		expect(exitCode).not.toBe(0);
	});
});
