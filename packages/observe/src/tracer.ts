/**
Type of the tracer, with which a process records the hops of calls.
*/
import type {Span} from './span.js';
import type {SpanOptions} from './span-options.js';

/** Records one span for each hop; no method throws. */
export type Tracer = {
	readonly startSpan: (name: string, options?: SpanOptions) => Span;
	/** Exports the buffered spans; resolves after a few seconds at the latest. */
	readonly close: () => Promise<void>;
};
