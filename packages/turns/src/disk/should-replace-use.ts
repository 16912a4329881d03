/**
Decides which of two token uses of one attempt counts.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A settled use replaces the reservation of its attempt; of two reservations or two settled uses the larger counts. */
export const shouldReplaceUse = (existing: TokenUse | undefined, use: TokenUse): boolean => {
	if (!existing) {
		return true;
	}

	return existing.settled === use.settled ? use.tokens > existing.tokens : use.settled;
};
