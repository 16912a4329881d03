/**
A limit that an upstream named: how many requests a second it takes.
*/

/** What one start of an upstream last said of the requests that it takes. */
export type UpstreamLimit = {
	/** Identifies one start of one upstream, see `identifyStart`. */
	readonly upstream: string;
	/** Requests a second that it takes from all processes together; `undefined` once it names no limit any more. */
	readonly perSecond: number | undefined;
	/** Milliseconds since the upstream said so. */
	readonly ageMs: number;
};
