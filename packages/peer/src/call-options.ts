/**
Options of one request on a link.
*/

/** Timeout and trace context of a request. */
export type CallOptions = {
	readonly timeoutMs: number;
	/** W3C trace context of the current hop. */
	readonly traceparent?: string;
	/** Whether nobody waits for the reply, so that request and reply may be kept for up to `MAX_DEFERRAL_MS` each until another message goes the same way. */
	readonly canWait?: boolean;
};
