/**
Decides whether a request ends for good with the grant that it gives back.
*/
import type {ClosedFate} from '@siskinhub/core/owner/closed-fate.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import {Fate, type Release} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

const FINAL_FATES: Readonly<Partial<Record<Fate, ClosedFate>>> = {
	[Fate.NOT_RUN]: 'not-run',
	[Fate.UNKNOWN]: 'outcome-unknown',
	[Fate.CANCELLED]: 'cancelled',
};

/** A non-idempotent request that may have run is closed at once; any other only if its entry gives it up. */
export const decideClosing = (call: OwnedCall, {fate, final}: Release): ClosedFate | undefined => {
	if (!call.idempotent && fate !== Fate.NOT_RUN) {
		return 'outcome-unknown';
	}

	return final ? FINAL_FATES[fate] : undefined;
};
