/**
Tracks how much of a stream has been forwarded to the caller, over all attempts.
*/

/** Updated while events are forwarded. */
export type StreamProgress = {
	lastEventId: string | undefined;
	events: number;
	/** The data of each event, each followed by a line feed; only if the turn is kept. */
	readonly output: string[] | undefined;
	/** Wall-clock time of the first event, in milliseconds. */
	firstEventAt: number | undefined;
};
