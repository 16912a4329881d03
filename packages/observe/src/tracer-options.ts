/**
What a tracer is built from.
*/
import type {Logger} from './logger.js';

/** Where spans go, and the process that records them. */
export type TracerOptions<Traces> = {
	readonly traces: Traces;
	/** `siskinhub-entry` or `siskinhub-sidecar`. */
	readonly service: string;
	readonly host: string;
	readonly dataCentre: string;
	readonly log: Logger;
};
