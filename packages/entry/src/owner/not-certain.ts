/**
The refusal of a call that was not sent, while that cannot be made to last.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

/** Takes the place of `not-run`, which another owner of the shard might make untrue. */
export const NOT_CERTAIN: Refusal = {
	code: 'unavailable',
	message: 'The call was not sent, but the platform\'s service did not record that in time; send the same request again.',
	retryAfterMs: 1000,
};
