/**
One hop of a call.
*/

/** A running span. */
export type Span = {
	/** Context for the next hop, as the W3C header `traceparent`; absent where the call is not traced. */
	readonly traceparent?: string;
	/** Ends the span: `ok`, or the refusal code or kind of error that it ended with. */
	readonly end: (outcome: string) => void;
};
