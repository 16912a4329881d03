/**
A sidecar's answer to a grant that arrives.
*/

/** `run`: queue it; `attach`: it is here already; `refuse`: it never runs here; `unknown`: this sidecar may have run it and forgotten. */
export type Admission =
	| {readonly kind: 'run'}
	| {readonly kind: 'attach'}
	| {readonly kind: 'refuse'; readonly reason: string}
	| {readonly kind: 'unknown'; readonly reason: string};
