/**
Carries a failure out of an oclif command, whose only way to fail is to throw.
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
