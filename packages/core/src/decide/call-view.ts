/**
What the choice of an upstream knows about the call to be placed.
*/
import type {ProgramId} from '../ids/program-id.js';

/** A call before it is placed; plain services have zero tokens. */
export type CallView = {
	readonly program: ProgramId;
	/** Whether it opens an outermost program. */
	readonly startsProgram: boolean;
	readonly promptTokens: number;
	/** The caller's bound or the row's mean, whichever is less. */
	readonly expectedOutputTokens: number;
};
