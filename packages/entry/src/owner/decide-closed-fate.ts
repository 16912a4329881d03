/**
Decides whether the release of a grant closes its request for good, and how.
*/
import type {ClosedFate} from '@siskinhub/core/owner/closed-fate.js';
import type {OwnedCall} from '@siskinhub/core/owner/owned-call.js';
import {Fate, type Release} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

const FINAL_FATES: Readonly<Partial<Record<Fate, ClosedFate>>> = {
	[Fate.NOT_RUN]: 'not-run',
	[Fate.UNKNOWN]: 'outcome-unknown',
	[Fate.CANCELLED]: 'cancelled',
};

/** A non-idempotent request that may have run is closed at once; any other only if its entry marks the release as final. */
export const decideClosedFate = (call: OwnedCall, {fate, final}: Release): ClosedFate | undefined => {
	if (!call.idempotent && fate !== Fate.NOT_RUN) {
		return 'outcome-unknown';
	}

	return final ? FINAL_FATES[fate] : undefined;
};
