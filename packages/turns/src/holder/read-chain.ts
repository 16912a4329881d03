/**
Reads a chain of turns backwards from its newest turn.
*/
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type Chain = {
	/** Newest first. */
	readonly turns: KeptTurn[];
	/** Id of the first turn that was not found; empty if the chain is complete. */
	readonly missing: string;
};

/** Starts at `id` and ends at the start of the chain or at the first turn that `findTurn` does not find. */
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
