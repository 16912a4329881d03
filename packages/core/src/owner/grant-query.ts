/**
The input of the decision whether a call may take the next turn of its program.
*/
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {WorkspaceId} from '../ids/workspace-id.js';

/** The parts of a grant request by which order and repetition are checked. */
export type GrantQuery = {
	readonly workspace: WorkspaceId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	/** Digest of the history on which the caller based this turn; empty if it gave none. */
	readonly after: string;
};
