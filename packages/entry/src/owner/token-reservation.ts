/**
Budget tokens reserved for one call.
*/

/** Exactly one of the methods is called, once. */
export type TokenReservation = {
	/** Charges what the call used and frees the rest. */
	readonly settle: (usedTokens: number) => void;
	/** Frees all tokens; the call used none. */
	readonly release: () => void;
};
