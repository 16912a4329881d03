/**
Finds a program and checks that it belongs to the caller's workspace.
*/
import {err, type Result} from 'neverthrow';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {ProgramRegistry} from './program-registry.js';

type ProgramQuery = {
	readonly program: string;
	/** Empty for an operator, who may see every program. */
	readonly workspace: string;
};

/** Fails with `wrong-workspace`, or as `ProgramRegistry.find` does. */
export const findProgram = async (registry: ProgramRegistry, {program, workspace}: ProgramQuery): Promise<Result<OpenProgram, Refusal>> => {
	const found = await registry.find(program as ProgramId);
	return found.andThen(known => workspace === '' || workspace === known.header.workspace
		? found
		: err<OpenProgram, Refusal>({code: 'wrong-workspace', message: 'The program belongs to another workspace.'}));
};
