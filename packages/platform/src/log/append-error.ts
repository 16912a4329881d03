/**
Why an append did not happen, or cannot be known to have happened.
*/

/** Only `unavailable` with the fate `unknown` leaves open whether the item stands in the log. */
export type AppendError<Rejection = never> =
	// Another writer owns the log now; nothing of this append stands in it.
	| {readonly kind: 'fenced'}
	// The platform did not answer in time. `not-written`: the item never will stand in the log. `unknown`: the log resolves the fate before its next append.
	| {readonly kind: 'unavailable'; readonly message: string; readonly fate: 'not-written' | 'unknown'}
	// `prepare` refused the item on the state that it met.
	| {readonly kind: 'rejected'; readonly rejection: Rejection}
	// The item, or the state after it, would exceed what one key can hold.
	| {readonly kind: 'too-large'; readonly message: string};
