/**
Which of two uses of one attempt counts.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A settled use replaces the reservation of its attempt; of two others the larger counts. */
export const isNewerUse = (held: TokenUse | undefined, use: TokenUse): boolean => {
	if (!held) {
		return true;
	}

	return held.settled === use.settled ? use.tokens > held.tokens : use.settled;
};
