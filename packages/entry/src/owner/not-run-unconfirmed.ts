/**
The refusal of a call that was not sent, when the shard's log did not confirm in
time that it never will be.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

/** Replaces `not-run`, because the next owner of the shard might still run the call. */
export const NOT_RUN_UNCONFIRMED: Refusal = {
	code: 'unavailable',
	message: 'The call was not sent, but the platform\'s service did not record that in time; send the same request again.',
	retryAfterMs: 1000,
};
