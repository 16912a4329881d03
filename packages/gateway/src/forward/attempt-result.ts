/**
How one attempt at one upstream ended.
*/

/**
`not-run`: the upstream has not run the request and will not. `unknown`: it may
have run, and the caller has received nothing of it. `broken`: the caller has
received a part. `isCut`: the upstream's connection ended before its answer did. `failed`: a failure of the upstream's own that could be tried again.
*/
export type AttemptResult =
	| {readonly kind: 'done'; readonly status: number}
	| {readonly kind: 'not-run'; readonly isFull: boolean; readonly message: string}
	| {readonly kind: 'unknown' | 'broken'; readonly message: string; readonly isConnectionLost: boolean}
	| {readonly kind: 'failed'; readonly status: number; readonly forwardResponse: () => void}
	| {readonly kind: 'gone'}
	| {readonly kind: 'timed-out'; readonly wasSent: boolean};
