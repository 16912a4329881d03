/**
Converts any error that a command threw into a `CommandFailure`.
*/
import {CommandError} from './command-error.js';
import type {CommandFailure} from './command-failure.js';
import {EXIT_CODE} from './exit-code.js';

type OclifError = Error & {readonly oclif?: {readonly exit?: number}};

/** Errors of oclif's parser count as usage errors. */
export const toFailure = (error: unknown): CommandFailure => {
	if (error instanceof CommandError) {
		return error.failure;
	}

	const {message, oclif} = error as OclifError;
	return oclif
		? {code: 'usage', message, exitCode: EXIT_CODE.USAGE}
		: {code: 'failed', message, exitCode: EXIT_CODE.FAILED};
};
