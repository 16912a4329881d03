/**
Base class of all commands: adds `--json`, and reports failures as a sentence on
standard error or, with `--json`, as an object under `error`.
*/
import process from 'node:process';
import {Command} from '@oclif/core';
import {CommandError} from './command-error.js';
import type {CommandFailure} from './command-failure.js';
import {toFailure} from './to-failure.js';

/** The return value of `run` is what `--json` prints. */
export abstract class BaseCommand extends Command {
	static override enableJsonFlag = true;

	protected override async catch(error: unknown): Promise<void> {
		const {code, message, exitCode, details} = toFailure(error);
		process.exitCode = exitCode;
		if (this.jsonEnabled()) {
			this.logJson({error: {code, message, ...details}});
			return;
		}

		process.stderr.write(`${message}\n`);
	}

	/** Stops the command by throwing, which `catch` reports. */
	protected fail(failure: CommandFailure): never {
		throw new CommandError(failure);
	}
}
