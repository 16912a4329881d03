/**
Finds a program for somebody who may see it.
*/
import {err, type Result} from 'neverthrow';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramBook} from './program-book.js';

type ProgramQuestion = {
	readonly program: string;
	/** Empty for an operator, who may see every program. */
	readonly workspace: string;
};

/** Fails with `wrong-workspace` if the program belongs to another one. */
export const findProgram = async (book: ProgramBook, {program, workspace}: ProgramQuestion): Promise<Result<OpenProgram, Refusal>> => {
	const found = await book.find(program as ProgramId);
	return found.andThen(known => workspace === '' || workspace === known.header.workspace
		? found
		: err<OpenProgram, Refusal>({code: 'wrong-workspace', message: 'The program belongs to another workspace.'}));
};
