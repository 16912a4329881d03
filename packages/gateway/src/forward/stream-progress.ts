/**
What of a stream has been passed on, over all its runs.
*/

/** Grows while events are passed on. */
export type StreamProgress = {
	lastEventId: string | undefined;
	events: number;
	/** The data of each event followed by a line feed; only where the turn is kept. */
	readonly output: string[] | undefined;
	/** Time of the first event, by the runtime's clock. */
	firstEventAt: number | undefined;
};
