/**
Type of a span, which records one hop of a call.
*/

/** A started span. */
export type Span = {
	/** Trace context for the next hop, as the W3C header `traceparent`; absent if the call is not traced. */
	readonly traceparent?: string;
	/** Ends the span. `outcome` is `ok`, a refusal code or a kind of error. */
	readonly end: (outcome: string) => void;
};
