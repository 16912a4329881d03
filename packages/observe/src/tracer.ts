/**
What the system's processes record hops with.
*/
import type {Span} from './span.js';
import type {SpanOptions} from './span-options.js';

/** Records one span for each hop; no method throws. */
export type Tracer = {
	readonly startSpan: (name: string, options?: SpanOptions) => Span;
	/** Exports what is buffered and gives up after a few seconds. */
	readonly close: () => Promise<void>;
};
