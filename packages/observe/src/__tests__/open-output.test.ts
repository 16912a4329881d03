/**
Load: two processes under one supervisor that share a pipe as standard output.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {build} from 'esbuild';
import {expect, it} from 'vitest';

const O_NONBLOCK = 0o4000;
/** Writes a line to standard output, then the flags of its descriptor to standard error. */
const SCRIPT = `
	import {readFileSync} from 'node:fs';
	import {createStdoutWriter} from './create-stdout-writer.js';
	const writer = createStdoutWriter();
	writer.write('a line');
	await writer.flush();
	process.stderr.write(/flags:\\s*(\\d+)/.exec(readFileSync('/proc/self/fdinfo/1', 'utf8'))[1]);
`;

/** Bundled, since loaders of TypeScript open standard output themselves. */
const bundleScript = async (): Promise<string> => {
	const {outputFiles} = await build({
		stdin: {contents: SCRIPT, resolveDir: path.join(import.meta.dirname, '..')}, bundle: true, platform: 'node', format: 'esm', write: false,
	});
	return outputFiles[0]!.text;
};

// Guards against a process that blocks with all its requests: another one that shared its pipe had changed, and at its end restored, whether writes block.
it('writes without blocking, and leaves the descriptor that other processes share as it was', async () => {
	const child = spawn('sh', ['-c', '"$0" --input-type=module -e "$1" | cat', process.execPath, await bundleScript()], {stdio: ['ignore', 'pipe', 'pipe']});
	const [output, flags] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'exit')]);
	expect(output).toBe('a line\n');
	expect(Math.floor(Number.parseInt(flags, 8) / O_NONBLOCK) % 2).toBe(0);
});
