/**
The software that began a stream of events.
*/

/** Versions of one service do not fit together: a stream goes on only where service and version are the same. */
export type StreamOrigin = {
	readonly service: string;
	/** Version of the upstream's software; empty if the upstream names none. */
	readonly version: string;
};
