/**
One step of an agent program, as seen by the program itself.
*/

/** Times are in milliseconds since the epoch. */
export type TimelineStep = {
	readonly title: string;
	/** The entry that received the request; absent for a step without a request. */
	readonly via?: string;
	readonly traceId?: string;
	readonly startedAt: number;
	readonly endedAt: number;
};
