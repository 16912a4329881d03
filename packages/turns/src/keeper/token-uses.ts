/**
Merges the token uses of a program from the answers of several holders and sums
them up.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {shouldReplaceUse} from '../disk/should-replace-use.js';

/** Functions on token uses, keyed by attempt. */
export const tokenUses = {
	/** Adds `uses` to `into`; of two uses of one attempt the one that counts is kept. */
	merge(into: Map<string, TokenUse>, uses: readonly TokenUse[]): void {
		for (const use of uses) {
			if (shouldReplaceUse(into.get(use.attempt), use)) {
				into.set(use.attempt, use);
			}
		}
	},
	/** Tokens used by settled turns only. */
	sumSettled: (uses: ReadonlyMap<string, TokenUse>): number => [...uses.values()].reduce((sum, {tokens, settled}) => sum + (settled ? tokens : 0), 0),
	/** Includes reservations of turns that have not settled yet. */
	sum: (uses: ReadonlyMap<string, TokenUse>): number => [...uses.values()].reduce((sum, {tokens}) => sum + tokens, 0),
};
