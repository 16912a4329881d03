/**
One step of an agent program as its caller saw it.
*/

/** Times are in milliseconds since the epoch. */
export type Step = {
	readonly title: string;
	/** The entry that took the request; absent for a step that sent none. */
	readonly via?: string;
	readonly traceId?: string;
	readonly startedAt: number;
	readonly endedAt: number;
};
