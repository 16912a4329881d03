/**
Decides for a gateway whether a request may be sent to an upstream that named a
limit.
*/
import type {Upstream} from '../upstreams/upstream.js';

export type LimitGate = {
	/** The upstream names a limit as far as this process knows. */
	readonly isLimited: (upstream: Upstream) => boolean;
	/** Milliseconds until it is worth trying the upstream; 0 if it may be tried. */
	readonly waitMs: (upstream: Upstream) => number;
	/** Resolves to whether one request may be sent to the upstream now; at once if it names no limit. */
	readonly acquire: (upstream: Upstream) => Promise<boolean>;
	/** Records the head of an answer. `perSecond`: the limit that it names. `sentAt`: when the request was sent, by `now`. */
	readonly recordAnswer: (upstream: Upstream, perSecond: number | undefined, sentAt: number) => void;
	/** Records that the upstream refused a request for lack of capacity although it had a permit. */
	readonly recordRefusal: (upstream: Upstream) => void;
	/** Drops what is known about a removed upstream. */
	readonly forget: (upstream: Upstream) => void;
	/** Reads the clock of the gate, in milliseconds. */
	readonly now: () => number;
};
