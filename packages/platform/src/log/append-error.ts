/**
Defines the reasons why an append to a replicated log fails.
*/

/** Only `unavailable` with the fate `unknown` leaves open whether the item is in the log. */
export type AppendError<Rejection = never> =
	// Another writer has taken over the exclusive log; the item was not written.
	| {readonly kind: 'fenced'}
	// The platform did not answer in time. `not-written`: the item is not in the log and never will be. `unknown`: it may be; the log finds out before its next write.
	| {readonly kind: 'unavailable'; readonly message: string; readonly fate: 'not-written' | 'unknown'}
	// `prepare` refused the item because of the state that the log had reached.
	| {readonly kind: 'rejected'; readonly rejection: Rejection}
	// The item exceeds the size limit of a batch, or the state after it that of the snapshot; both are stored in one key each.
	| {readonly kind: 'too-large'; readonly message: string};
