/**
The answer of an issuer to what a gateway asks about one workspace.
*/

export type GrantedRequests = {
	/** Requests that may be run beyond the `usedTotal` of the question; they replace earlier ones. */
	readonly total: number;
	/** Milliseconds until it is worth asking for more; 0 if all that was needed is granted. */
	readonly waitMs: number;
};
