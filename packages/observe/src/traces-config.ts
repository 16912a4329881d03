/**
Type of the settings for exporting spans.
*/

/** Spans go to a collector that speaks OTLP/HTTP at `http://IP:PORT`, or to the log of the process. */
export type TracesConfig =
	| {readonly kind: 'otlp'; readonly address: string}
	| {readonly kind: 'log'};
