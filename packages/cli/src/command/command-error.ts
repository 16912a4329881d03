/**
Error that carries a `CommandFailure` out of an oclif command, which can fail only
by throwing.
*/
import type {CommandFailure} from './command-failure.js';

/** Thrown by commands and caught by `BaseCommand`. */
export class CommandError extends Error {
	readonly failure: CommandFailure;

	constructor(failure: CommandFailure) {
		super(failure.message);
		this.name = 'CommandError';
		this.failure = failure;
	}
}
