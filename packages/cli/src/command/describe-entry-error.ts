/**
Turns the failure of a request to an entry into the failure of the command.
*/
import type {EntryError} from '../entry/entry-error.js';
import type {CommandFailure} from './command-failure.js';
import {EXIT_CODE} from './exit-code.js';

/** Only for idempotent requests, since the message may advise trying again. */
export const describeEntryError = (error: EntryError): CommandFailure => {
	if (error.kind === 'refused') {
		const {refusal} = error;
		return {
			code: refusal.code, message: `Refused (${refusal.code}): ${refusal.message}`, exitCode: EXIT_CODE.FAILED, details: {refusal},
		};
	}

	return {
		code: 'unreachable',
		message: `No entry answered (last error: ${error.message}). Check the addresses and that the entries are running, then try again.`,
		exitCode: EXIT_CODE.FAILED,
	};
};
