/**
A sidecar's answer to a grant that is presented to it.
*/

/** `run`: queue it; `attach`: it was already admitted here; `refuse`: it never runs here; `unknown`: this sidecar may have run it but has no record of it. */
export type GrantAdmission =
	| {readonly kind: 'run'}
	| {readonly kind: 'attach'}
	| {readonly kind: 'refuse'; readonly reason: string}
	| {readonly kind: 'unknown'; readonly reason: string};
