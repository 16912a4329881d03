/**
Where spans go.
*/

/** A collector that speaks OTLP/HTTP at `http://IP:PORT`, or the process's own log. */
export type TracesConfig =
	| {readonly kind: 'otlp'; readonly address: string}
	| {readonly kind: 'log'};
