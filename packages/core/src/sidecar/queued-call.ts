/**
What the queue of an upstream knows of a call that waits in it.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {ProgramId} from '../ids/program-id.js';
import type {WorkspaceId} from '../ids/workspace-id.js';

/** A waiting call, with all that the order of the queue may depend on. */
export type QueuedCall = {
	readonly claim: ClaimId;
	readonly program: ProgramId;
	readonly workspace: WorkspaceId;
	/** Wall-clock time of arrival, in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly weight: number;
	readonly priority: number;
	/** Tokens that the whole program has used before this call. */
	readonly attainedTokens: number;
	/** Suspected of crashing upstreams: nothing else runs beside it. */
	readonly runAlone: boolean;
};
