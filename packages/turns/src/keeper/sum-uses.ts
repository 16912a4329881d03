/**
Adds up what a program's turns have used, from the answers of several holders.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {isNewerUse} from '../disk/is-newer-use.js';

/** Merges uses by attempt and adds them up. */
export const sumUses = {
	merge(into: Map<string, TokenUse>, uses: readonly TokenUse[]): void {
		for (const use of uses) {
			if (isNewerUse(into.get(use.attempt), use)) {
				into.set(use.attempt, use);
			}
		}
	},
	/** What turns that have ended used. */
	totalSettled: (uses: ReadonlyMap<string, TokenUse>): number => [...uses.values()].reduce((sum, {tokens, settled}) => sum + (settled ? tokens : 0), 0),
	total: (uses: ReadonlyMap<string, TokenUse>): number => [...uses.values()].reduce((sum, {tokens}) => sum + tokens, 0),
};
