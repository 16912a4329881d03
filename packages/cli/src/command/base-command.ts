/**
What all commands share: `--json`, and failures that read as plain sentences.
*/
import process from 'node:process';
import {Command} from '@oclif/core';
import {CommandError} from './command-error.js';
import type {CommandFailure} from './command-failure.js';
import {toFailure} from './to-failure.js';

/** A command with `--json`; its `run` returns what `--json` prints. */
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

	/** Stops the command. */
	protected fail(failure: CommandFailure): never {
		throw new CommandError(failure);
	}
}
