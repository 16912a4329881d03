/**
Turns the failure of a table edit into the message and exit code of the command.
*/
import type {EditFailure} from '../entry/edit-failure.js';
import type {RefusalBody} from '../entry/refusal-body.js';
import type {CommandFailure} from './command-failure.js';
import {EXIT_CODE} from './exit-code.js';

type Conflict = NonNullable<RefusalBody['conflicts']>[number];

const describeConflict = ({row, cell, value, who, revision}: Conflict): string => {
	const place = cell === undefined ? row : `${row}.${cell}`;
	const found = value === undefined ? 'is now empty' : `now holds ${value}`;
	return `${place} ${found}, written by ${who ?? 'another operator'} at revision ${revision}.`;
};

const describeRefusal = (refusal: RefusalBody): CommandFailure => {
	const details = {refusal, conflicts: refusal.conflicts};
	if (refusal.code !== 'edit-conflict') {
		return {
			code: refusal.code, message: `Edit refused (${refusal.code}): ${refusal.message}`, exitCode: EXIT_CODE.FAILED, details,
		};
	}

	const lines = [
		'Edit refused (edit-conflict): someone else changed the same cell first. Nothing of your edit took effect.',
		...(refusal.conflicts ?? []).map(conflict => `  ${describeConflict(conflict)}`),
		'Check the current table, and run the command again if you still want your value.',
	];
	return {
		code: refusal.code, message: lines.join('\n'), exitCode: EXIT_CODE.FAILED, details,
	};
};

/** The message says whether the edit took effect, if that is known, and what to do next. */
export const describeEditFailure = (failure: EditFailure): CommandFailure => {
	switch (failure.kind) {
		case 'refused': {
			return describeRefusal(failure.refusal);
		}

		case 'not-sent': {
			return {
				code: 'unreachable',
				message: `No entry could be reached (last error: ${failure.message}). The edit was not sent and nothing changed. Check the addresses, then run the command again.`,
				exitCode: EXIT_CODE.FAILED,
			};
		}

		case 'not-accepted': {
			return {
				code: 'not-accepted',
				message: `The answer to the edit was lost (${failure.message}). An entry has since confirmed that the edit did not take effect and never will. Run the command again.`,
				exitCode: EXIT_CODE.FAILED,
				details: {editId: failure.editId},
			};
		}

		case 'unknown': {
			return {
				code: 'outcome-unknown',
				message: [
					`The answer to the edit was lost (${failure.message}), and no entry could say whether the edit took effect.`,
					`Do not run the command again yet. Check later with: siskinhub table history --edit ${failure.editId}`,
				].join('\n'),
				exitCode: EXIT_CODE.UNKNOWN,
				details: {editId: failure.editId},
			};
		}
	}
};
