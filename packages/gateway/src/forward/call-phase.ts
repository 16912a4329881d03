/**
What a request in flight waits for.
*/

/**
`reading-body`: the rest of the caller's request. `preparing`: the first routes, the
tokens of a turn or the turns before it. `waiting-for-permit`: leave to send to an
upstream with a limit. `waiting-for-connection`: a free connection to an upstream, or
a new one. `passed-on`: the upstream's response. `answering`: the response to the
caller has begun.
*/
export type CallPhase = 'reading-body' | 'preparing' | 'waiting-for-permit' | 'waiting-for-connection' | 'passed-on' | 'answering';
