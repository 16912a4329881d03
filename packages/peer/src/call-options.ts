/**
Options of one request on a link.
*/

/** Timeout and trace context of a request. */
export type CallOptions = {
	readonly timeoutMs: number;
	/** W3C trace context of the current hop. */
	readonly traceparent?: string;
};
