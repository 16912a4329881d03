/**
The runs that a sidecar can still be asked about.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Run} from './run.js';

/** Finds runs by claim; forgets answers that nobody will ask for again. */
export type RunStore = {
	readonly get: (claim: ClaimId) => Run | undefined;
	/** Adds a run, and forgets the ended runs of earlier turns of its program. */
	readonly add: (run: Run) => void;
	readonly remove: (run: Run) => void;
	/** Forgets the ended runs of a program. */
	readonly forgetProgram: (program: ProgramId) => void;
	/** Forgets ended runs older than the retention, and returns running ones that nobody has followed for as long. */
	readonly sweep: (now: number) => readonly Run[];
	readonly size: () => number;
};
