/**
Decides the answer to the balancer's readiness check.

Load pattern: many processes restart at the same moment, for example after a
power failure. The balancer checks each one once a second, so a process that
first answers "not ready" gets no callers for at least another second, and the
others carry its share while they are still slow themselves. A process is
therefore ready from its start; requests wait the short time until the routes
and the links to the copy holders are available. A process that still lacks them
after this time reports that it is not ready.
*/

/** Routes and links are usually available after a few hundred milliseconds. The balancer acts on two equal answers in a row. */
const START_GRACE_MS = 1500;

type ReadinessState = {
	readonly isStopping: boolean;
	readonly hasRoutes: boolean;
	/** Whether enough copy holders answer to store turns. */
	readonly hasHolders: boolean;
	/** Milliseconds since the process started to listen. */
	readonly ageMs: number;
};

/** Returns whether the balancer should send callers to this process. */
export const decideReadiness = ({isStopping, hasRoutes, hasHolders, ageMs}: ReadinessState): boolean =>
	!isStopping && ((hasRoutes && hasHolders) || ageMs < START_GRACE_MS);
