/**
Interface of the store of the runs that an entry can still ask a sidecar about.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Run} from './run.js';

/** Finds runs by claim and drops answers that are no longer needed. */
export type RunStore = {
	readonly get: (claim: ClaimId) => Run | undefined;
	/** Adds a run and drops the ended runs of earlier turns of its program. */
	readonly add: (run: Run) => void;
	readonly remove: (run: Run) => void;
	/** Drops the ended runs of a program. */
	readonly forgetProgram: (program: ProgramId) => void;
	/** Drops ended runs whose retention has passed and returns running ones that were abandoned. `now` is in milliseconds since the Unix epoch. */
	readonly sweep: (now: number) => readonly Run[];
	readonly size: () => number;
};
