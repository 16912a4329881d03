/**
A whole revision of the declared routes.
*/
import type {Route} from './route.js';
import type {Service} from './service.js';

/** Bounds on what callers send. */
type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Milliseconds for the head of a request. */
	readonly headerTimeoutMs: number;
	/** Milliseconds that a connection may stay idle. */
	readonly idleTimeoutMs: number;
};

/** Takes effect as one. */
export type DeclaredRoutes = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
};
