/**
Log lines about requests.
*/

export type CallLog = {
	/** `isPlain`: answered by its first upstream within its route's objective. */
	readonly write: (fields: Record<string, unknown>, isRoutine: boolean) => void;
	/** Writes the summary that is due. */
	readonly close: () => void;
};
