/**
Whether a workspace may run one more request.
*/

/**
`over`: the request has not run. `reason`: the workspace has used its quota (`limit`),
or the programs under way will (`programs`), or no issuer of grants answers and nothing
is in hand (`no-issuer`).
*/
export type QuotaDecision =
	| {readonly kind: 'granted'}
	| {readonly kind: 'over'; readonly reason: 'limit' | 'programs' | 'no-issuer'; readonly retryAfterMs: number};
