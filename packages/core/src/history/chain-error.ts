/**
Why a history is no valid chain.
*/

/** The first turn, counted from 1, at which the chain breaks. */
export type ChainError = {
	readonly kind: 'broken-chain';
	readonly turn: number;
	/** What is wrong with it: another program's turn, a wrong number, another predecessor, or changed content. */
	readonly fault: 'program' | 'number' | 'previous' | 'digest';
};
