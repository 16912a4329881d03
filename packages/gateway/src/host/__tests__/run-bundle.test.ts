import {execFileSync, spawnSync} from 'node:child_process';
import {
	existsSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {build} from 'esbuild';

const LOADER = 'scripts/daemon-loader.ts';
let folder: string;

beforeAll(async () => {
	folder = mkdtempSync(path.join(tmpdir(), 'bundle-'));
	writeFileSync(path.join(folder, 'daemon.bundle.cjs'), 'const path = require("node:path"); console.log("ran", path.basename(__filename), path.basename(__dirname).slice(0, 6));');
	await build({
		entryPoints: [LOADER], outfile: path.join(folder, 'daemon.cjs'), bundle: true, platform: 'node', format: 'cjs', define: {BUNDLE: '"daemon.bundle.cjs"', BYTECODE: '"daemon.bytecode"'},
	});
});

afterAll(() => {
	rmSync(folder, {recursive: true});
});

const run = (flags: readonly string[] = [], env: Record<string, string> = {}) => spawnSync(process.execPath, [...flags, path.join(folder, 'daemon.cjs')], {encoding: 'utf8', env: {...process.env, ...env}});

it('runs without bytecode and reports that it is missing', () => {
	const {status, stdout, stderr} = run();
	expect(status).toBe(0);
	expect(stdout).toBe('ran daemon.bundle.cjs bundle\n');
	expect(stderr).toContain('daemon.bytecode is missing');
});

it('writes its bytecode at exit on request, uses it silently, and runs without it under other flags', () => {
	execFileSync(process.execPath, [path.join(folder, 'daemon.cjs')], {env: {...process.env, SISKINHUB_KEEP_BYTECODE: '1'}});
	expect(existsSync(path.join(folder, 'daemon.bytecode'))).toBe(true);
	expect(run()).toMatchObject({status: 0, stdout: 'ran daemon.bundle.cjs bundle\n', stderr: ''});
	const other = run(['--no-lazy-feedback-allocation']);
	expect(other).toMatchObject({status: 0, stdout: 'ran daemon.bundle.cjs bundle\n'});
	expect(other.stderr).toContain('other flags');
});

it('runs without bytecode that is invalid', () => {
	writeFileSync(path.join(folder, 'daemon.bytecode'), 'garbage');
	const {status, stdout, stderr} = run();
	expect([status, stdout]).toEqual([0, 'ran daemon.bundle.cjs bundle\n']);
	expect(stderr).toContain('only more slowly');
});
