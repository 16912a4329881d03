/**
The header of a program's history, stored before the first turn.
*/
import type {ProgramId} from '../ids/program-id.js';
import type {WorkspaceId} from '../ids/workspace-id.js';

/** Identity and rows of a program; written once, when the program starts. */
export type ProgramHeader = {
	readonly program: ProgramId;
	readonly workspace: WorkspaceId;
	/** Name of the program's kind row. */
	readonly kind: string;
	/** Name of the program's deployment row. */
	readonly deployment: string;
	/** The program that started this one as a sub-agent, if any. */
	readonly parent?: ProgramId;
	/** Wall-clock time of the start, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
};
