/**
How a span starts.
*/

/** Context and attributes of a new span. */
export type SpanOptions = {
	/** `traceparent` of the hop before, as it came with the message or request; a malformed one starts a new trace. */
	readonly traceparent?: string;
	readonly attributes?: Readonly<Record<string, string | number | boolean>>;
};
