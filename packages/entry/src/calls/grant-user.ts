/**
Uses the grants that an owner gives for a call.
*/
import type {Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallProgress} from './call-progress.js';

/** Each returns true if the owner is to be asked again, and has ended the call otherwise. */
export type GrantUser = {
	/** Runs the call, and stores its answer or releases the grant. */
	readonly use: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Follows the run of a grant that another request was given, and stores its answer: the entry that posted the call may be gone. */
	readonly observe: (progress: CallProgress, grant: Grant) => Promise<boolean>;
	/** Pays into the budget of retries; once for each new call. */
	readonly noteCall: () => void;
};
