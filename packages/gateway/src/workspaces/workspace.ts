/**
A declared workspace: who its callers are, how urgent they are and how much they
may send.
*/
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {KeyHash} from './key-hash.js';

export type Workspace = {
	readonly name: WorkspaceId;
	readonly keyHashes: readonly KeyHash[];
	/** Goes before the rank of the route; 0 is the most urgent. */
	readonly rank: number;
	/** Requests a second that the workspace may run over all gateways together; 0 for no limit. */
	readonly ratePerS: number;
	/** Requests beyond the rate that it may run at once after a pause. */
	readonly burst: number;
};
