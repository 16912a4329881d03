/**
The log of finished requests.
*/

export type CallLog = {
	/** `isRoutine`: answered by the first upstream within the route's latency objective; such lines may be omitted under load. */
	readonly write: (fields: Record<string, unknown>, isRoutine: boolean) => void;
	/** Writes the pending summary of omitted lines. */
	readonly close: () => void;
};
