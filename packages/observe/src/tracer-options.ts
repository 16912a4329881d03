/**
Options for creating a tracer.
*/
import type {Logger} from './logger.js';

/** Where spans are exported to, and the process that records them. */
export type TracerOptions<Traces> = {
	readonly traces: Traces;
	/** `siskinhub-entry` or `siskinhub-sidecar`. */
	readonly service: string;
	readonly host: string;
	readonly dataCentre: string;
	readonly log: Logger;
};
