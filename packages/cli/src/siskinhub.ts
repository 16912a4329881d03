/**
Entry point of the `siskinhub` command. oclif loads the commands from the exports
of this file.
*/
import {basename, dirname} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {flush, run} from '@oclif/core';
import {buildManifest} from './build-manifest.js';
import {describeUnknownCommand} from './command/describe-unknown-command.js';
import {toFailure} from './command/to-failure.js';

export {COMMANDS} from './commands.js';

const FILE = fileURLToPath(import.meta.url);

const main = async (): Promise<void> => {
	const argv = process.argv.slice(2);
	try {
		await run(argv, {root: dirname(FILE), pjson: buildManifest(`./${basename(FILE)}`)});
		await flush();
	} catch (error) {
		const {message, exitCode} = toFailure(error);
		process.stderr.write(`${describeUnknownCommand(error) ?? message}\n`);
		process.exitCode = exitCode;
	}
};

// Not awaited at the top level: oclif imports this module while `main` runs.
void main();
