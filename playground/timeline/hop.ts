/**
One hop of a call, parsed from a span that a process wrote to its log.
*/

/** `startMs` is in milliseconds since the epoch. */
export type Hop = {
	readonly host: string;
	readonly span: string;
	readonly traceId: string;
	readonly spanId: string;
	readonly parentSpanId?: string;
	readonly startMs: number;
	readonly durationMs: number;
	readonly outcome?: string;
	readonly upstream?: string;
};
