/**
How far the requests of a workspace may pass its limit.
*/

/** In any span of `windowMs` a workspace may run (rate x window + burst) x (1 + `overage`) + `slack` requests. */
export type QuotaBounds = {
	readonly windowMs: number;
	/** A share, such as 0.1. */
	readonly overage: number;
	/** Requests. */
	readonly slack: number;
};
