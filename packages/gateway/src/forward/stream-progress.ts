/**
Tracks how much of a stream has been forwarded to the caller, over all attempts.
*/

/** Updated while events are forwarded. */
export type StreamProgress = {
	lastEventId: string | undefined;
	events: number;
	/** Wall-clock time of the first event, in milliseconds. */
	firstEventAt: number | undefined;
};
