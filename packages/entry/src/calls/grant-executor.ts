/**
Executes the grants that an owner issues for a call.
*/
import type {Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

/** `use` and `observe` resolve with true if the owner must be asked again, and with false once the call has ended. */
export type GrantExecutor = {
	/** Runs the call, then stores its answer or releases the grant. */
	readonly use: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Follows a run that another entry or connection started and stores its answer, since the entry that started it may be gone. */
	readonly observe: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Adds to the retry budget; called once for each new call. */
	readonly creditRetryBudget: () => void;
};
