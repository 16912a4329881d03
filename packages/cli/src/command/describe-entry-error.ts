/**
Words for what went wrong between a command and the entries.
*/
import type {EntryError} from '../entry/entry-error.js';
import type {CommandFailure} from './command-failure.js';
import {EXIT_CODE} from './exit-code.js';

/** For requests that may be sent again at will. */
export const describeEntryError = (error: EntryError): CommandFailure => {
	if (error.kind === 'refused') {
		const {refusal} = error;
		return {
			code: refusal.code, message: `Refused (${refusal.code}): ${refusal.message}`, exitCode: EXIT_CODE.FAILED, details: {refusal},
		};
	}

	return {
		code: 'unreachable',
		message: `No entry gave an answer (last: ${error.message}). Check the addresses and that the entries run, then try again.`,
		exitCode: EXIT_CODE.FAILED,
	};
};
