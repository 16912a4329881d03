/**
The limit of one workspace, as one revision of the declared routes says.
*/

export type QuotaLimit = {
	readonly ratePerS: number;
	/** Requests. */
	readonly burst: number;
	/** Of the declared routes; a higher one holds instead of a lower one. */
	readonly version: number;
};
