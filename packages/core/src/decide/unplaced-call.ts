/**
The call for which a placement policy chooses an upstream.
*/
import type {ProgramId} from '../ids/program-id.js';

/** A call without an upstream; token counts are 0 for plain services. */
export type UnplacedCall = {
	readonly program: ProgramId;
	/** Whether it is the first call of an outermost program. */
	readonly startsProgram: boolean;
	readonly promptTokens: number;
	/** The lesser of the caller's limit and the row's mean. */
	readonly expectedOutputTokens: number;
};
