/**
Adds up what a program's turns have used, from the answers of several holders.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** A settled use replaces the reservation of its attempt; of two others the larger counts. */
export const sumUses = {
	merge(into: Map<string, TokenUse>, uses: readonly TokenUse[]): void {
		for (const use of uses) {
			const held = into.get(use.attempt);
			const isNews = !held || (held.settled === use.settled ? use.tokens > held.tokens : use.settled);
			if (isNews) {
				into.set(use.attempt, use);
			}
		}
	},
	total: (uses: ReadonlyMap<string, TokenUse>): number => [...uses.values()].reduce((sum, {tokens}) => sum + tokens, 0),
};
