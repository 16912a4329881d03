/**
Why the turns of a history are not a valid chain.
*/

/** The first turn at which the chain is broken. */
export type ChainError = {
	readonly kind: 'broken-chain';
	/** Position of the turn in the history, from 1. */
	readonly turn: number;
	/** What does not match: the program, the turn number, the digest of the preceding history, or the digest of the content. */
	readonly fault: 'program' | 'number' | 'previous' | 'digest';
};
