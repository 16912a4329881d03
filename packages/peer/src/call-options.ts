/**
Options of one exchange on a link.
*/

/** Time bound and trace context of an exchange. */
export type CallOptions = {
	readonly timeoutMs: number;
	/** W3C trace context of the current hop. */
	readonly traceparent?: string;
};
