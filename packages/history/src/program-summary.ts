/**
Summary of a program's copy in a history store.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';

/** State of a copy, sufficient to decide whether it needs a repair. */
export type ProgramSummary = {
	readonly program: ProgramId;
	/** The empty string before turn 1. */
	readonly digest: Digest;
	readonly turns: number;
	readonly ended: boolean;
};
