/**
What an entry asks the owner before it sends a call to an upstream.
*/
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {WorkspaceId} from '../ids/workspace-id.js';

/** The parts of a grant request that decide about order and repetition. */
export type GrantQuestion = {
	readonly workspace: WorkspaceId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	/** Digest of the history that the caller built on; empty if it did not say. */
	readonly after: string;
};
