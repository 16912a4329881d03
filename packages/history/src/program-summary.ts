/**
One line of a holder's list of programs.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';

/** Where a copy stands; enough to see whether it needs a repair. */
export type ProgramSummary = {
	readonly program: ProgramId;
	/** The empty string before turn 1. */
	readonly digest: Digest;
	readonly turns: number;
	readonly ended: boolean;
};
