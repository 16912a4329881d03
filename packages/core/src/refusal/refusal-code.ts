/**
The codes of the refusals that are sent to callers.
*/

/** Why a request was refused. `docs/guide/callers.md` explains each code to callers. */
export type RefusalCode =
	// The request did not run and never will under this grant.
	| 'not-run'
	// It cannot be established whether a non-idempotent request ran; it never runs again.
	| 'outcome-unknown'
	| 'budget-exhausted'
	| 'out-of-order'
	| 'history-mismatch'
	| 'quarantined'
	// The request itself is malformed.
	| 'bad-request'
	| 'too-large'
	| 'unknown-row'
	| 'unknown-program'
	| 'unknown-request'
	| 'wrong-workspace'
	| 'program-ended'
	| 'limit-reached'
	| 'cancelled'
	// An operator's edit conflicts with a newer change of the same cell or row.
	| 'edit-conflict'
	// The platform's service did not answer within the deadline.
	| 'unavailable';
