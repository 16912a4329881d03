/**
Follows a chain of turns backwards.
*/
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type Chain = {
	/** Newest first. */
	readonly turns: KeptTurn[];
	/** The first turn that was not found; empty if the chain is whole. */
	readonly missing: string;
};

/** Reads from `id` back to the start of the chain, or as far as the turns go. */
export const readChain = (findTurn: (id: string) => KeptTurn | undefined, id: string): Chain => {
	const turns: KeptTurn[] = [];
	for (let next = id; next !== '';) {
		const turn = findTurn(next);
		if (!turn) {
			return {turns, missing: next};
		}

		turns.push(turn);
		next = turn.previous;
	}

	return {turns, missing: ''};
};
