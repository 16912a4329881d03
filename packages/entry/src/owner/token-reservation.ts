/**
Tokens set aside for one call.
*/

/** Exactly one of the methods is called, once. */
export type TokenReservation = {
	/** Spends what the call used; the rest is free again. */
	readonly settle: (usedTokens: number) => void;
	/** The call used nothing. */
	readonly release: () => void;
};
