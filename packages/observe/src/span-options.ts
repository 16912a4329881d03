/**
Options for starting a span.
*/

/** Context and attributes of a new span. */
export type SpanOptions = {
	/** `traceparent` that came with the message or request, from the previous hop; a missing or malformed one starts a new trace. */
	readonly traceparent?: string;
	readonly attributes?: Readonly<Record<string, string | number | boolean>>;
};
