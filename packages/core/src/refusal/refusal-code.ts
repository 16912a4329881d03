/**
Codes of the refusals that callers meet, one documented shape for all of them.
*/

/** Why a request was refused. `docs/guide/callers.md` explains each to callers. */
export type RefusalCode =
	// The request did not run and never will under this grant.
	| 'not-run'
	// Whether a non-idempotent request ran cannot be established; it never runs again.
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
	// An operator's edit met a newer value in the same cell.
	| 'edit-conflict'
	// The platform's service did not answer within the deadline.
	| 'unavailable';
