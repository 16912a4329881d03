/**
One hop of a call, from a span that a process wrote to its log.
*/

/** Times are in milliseconds since the epoch. */
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
