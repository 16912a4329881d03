/**
Guards against lint results that depend on the environment: the linter reads a file
that belongs to no TypeScript project through a cache, and with `CI` set it fails to
parse such a file in a fresh checkout.
*/
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import ts from 'typescript';
import {expect, it} from 'vitest';

it('includes each source file in the TypeScript project', () => {
	const root = process.cwd();
	const {config} = ts.readConfigFile('tsconfig.json', file => ts.sys.readFile(file)) as {readonly config: unknown};
	const included = new Set(ts.parseJsonConfigFileContent(config, ts.sys, root).fileNames.map(file => path.relative(root, file)));
	const tracked = execFileSync('git', ['ls-files', '*.ts', '*.mts', '*.cts', '*.js', '*.mjs', '*.cjs'], {encoding: 'utf8'}).trim().split('\n');
	expect(tracked.length).toBeGreaterThan(0);
	expect(tracked.filter(file => !included.has(file))).toEqual([]);
});
