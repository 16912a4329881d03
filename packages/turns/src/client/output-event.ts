/**
One event of a stream as it was passed on to a caller.
*/

/** `id` is empty if the event has none. */
export type OutputEvent = {
	readonly id: string;
	readonly data: string;
};
