import process from 'node:process';
import {Config, type Command} from '@oclif/core';
import {vi} from 'vitest';
import {buildManifest} from '../build-manifest.js';
import {COMMANDS} from '../commands.js';

type Output = {readonly stdout: string; readonly stderr: string; readonly exitCode: number};

const loadConfig = async (): Promise<Config> => {
	const manifest = buildManifest('');
	return Config.load({root: import.meta.dirname, pjson: {...manifest, oclif: {...manifest.oclif, commands: undefined}}});
};

/** Runs one command in this process and captures what it prints. */
export const runCommand = async (id: keyof typeof COMMANDS, ...argv: string[]): Promise<Output> => {
	const config = await loadConfig();
	const stdout: string[] = [];
	const stderr: string[] = [];
	// Commands print through oclif, which uses `console.log`; failures are written directly to standard error.
	const spies = [
		vi.spyOn(console, 'log').mockImplementation(line => stdout.push(`${line}\n`)),
		vi.spyOn(process.stderr, 'write').mockImplementation(chunk => stderr.push(String(chunk)) > 0),
	];
	process.exitCode = undefined;
	try {
		await (COMMANDS[id] as Command.Class).run(argv, config);
	} finally {
		for (const spy of spies) {
			spy.mockRestore();
		}
	}

	const exitCode = Number(process.exitCode ?? 0);
	process.exitCode = undefined;
	return {stdout: stdout.join(''), stderr: stderr.join(''), exitCode};
};
