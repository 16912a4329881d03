/**
The linter's verdict must not depend on the environment: it reads a file that
belongs to no TypeScript project through a cache, and with `CI` set a fresh
checkout fails to parse such a file.
*/
import {execFileSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import ts from 'typescript';
import {expect, it} from 'vitest';

it('knows each source file by the TypeScript project', () => {
	const root = process.cwd();
	const {config} = ts.readConfigFile('tsconfig.json', file => ts.sys.readFile(file)) as {readonly config: unknown};
	const known = new Set(ts.parseJsonConfigFileContent(config, ts.sys, root).fileNames.map(file => path.relative(root, file)));
	const tracked = execFileSync('git', ['ls-files', '*.ts', '*.mts', '*.cts', '*.js', '*.mjs', '*.cjs'], {encoding: 'utf8'}).trim().split('\n');
	expect(tracked.length).toBeGreaterThan(0);
	expect(tracked.filter(file => !known.has(file))).toEqual([]);
});
