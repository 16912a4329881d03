/**
Adds up what a program's turns have used, from the answers of several holders.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {shouldReplaceUse} from './should-replace-use.js';

const sumTokens = (uses: readonly TokenUse[]): number => uses.reduce((sum, {tokens}) => sum + tokens, 0);

/** Merges uses by attempt and adds them up. */
export const tokenUses = {
	/** Adds `uses` to `into`; of two uses of one attempt one is kept, see `shouldReplaceUse`. */
	merge(into: Map<string, TokenUse>, uses: readonly TokenUse[]): void {
		for (const use of uses) {
			if (shouldReplaceUse(into.get(use.attempt), use)) {
				into.set(use.attempt, use);
			}
		}
	},
	/** What settled turns used. */
	sumSettled: (uses: Iterable<TokenUse>): number => sumTokens([...uses].filter(({settled}) => settled)),
	/** Includes reservations of turns that have not settled yet. */
	sum: (uses: Iterable<TokenUse>): number => sumTokens([...uses]),
};
