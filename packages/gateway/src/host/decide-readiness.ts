/**
Decides what a process answers when the balancer asks whether it takes callers.

Pattern of load: many processes come back at the same moment, as after a loss of
power. The balancer asks each one once a second. Whoever answers no at first is
asked again a second later, and until then the others take its share while they
are still slow themselves. So a process answers yes from its start on; requests
wait the moment that the routes and the links to the holders take. Only a
process that still lacks them after that time takes itself out.
*/

/** Routes and links are there after some hundred milliseconds; two answers in a row count for the balancer. */
const START_GRACE_MS = 1500;

type ReadinessFacts = {
	readonly isStopping: boolean;
	readonly hasRoutes: boolean;
	/** Enough holders answer for turns to be kept. */
	readonly hasHolders: boolean;
	/** Milliseconds since the process listens. */
	readonly ageMs: number;
};

/** Whether callers are to be sent here. */
export const decideReadiness = ({isStopping, hasRoutes, hasHolders, ageMs}: ReadinessFacts): boolean =>
	!isStopping && ((hasRoutes && hasHolders) || ageMs < START_GRACE_MS);
