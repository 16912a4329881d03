/**
The result of one attempt to send a request to one upstream.
*/

/**
`done`: the response has been sent to the caller; only if `isFramed` does its end
prove that it is whole. `not-run`: the upstream has not
run the request and will not; `isFull` means that it had no capacity. `unknown`:
the request may have run, and the caller has received nothing of the response.
`broken`: the caller has received a part of it. `isConnectionLost`: the upstream's
connection ended before its response did. `isSound`: not the upstream's answer was what went wrong.
`isNoAnswer`: it was given up for what the upstream sent, a part of which the caller has, so nothing may make it look whole. `failed`: the upstream reported a
server error, which may be retried; `forwardResponse` sends it to the caller, and
`dropResponse`, which must be called in any case, frees what is kept of it.
`gone`: the caller disconnected. `timed-out`: the request's deadline passed.
*/
export type AttemptResult =
	| {readonly kind: 'done'; readonly status: number; readonly isFramed: boolean}
	| {readonly kind: 'not-run'; readonly isFull: boolean; readonly message: string}
	| {readonly kind: 'unknown' | 'broken'; readonly message: string; readonly isConnectionLost: boolean; readonly isSound?: boolean; readonly isNoAnswer?: boolean}
	| {readonly kind: 'failed'; readonly status: number; readonly forwardResponse: () => void; readonly dropResponse: () => void}
	| {readonly kind: 'gone' | 'timed-out'; readonly wasSent: boolean};
