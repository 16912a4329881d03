/**
A call in the form in which an upstream client receives it.
*/

/** The fields that an upstream client needs to send a call. */
export type RunRequest = {
	/** Unique among all programs. */
	readonly runId: string;
	readonly program: string;
	/** JSON text: chat messages, or a plain service's input. */
	readonly payload: string;
	/** Model name; empty for a plain service. */
	readonly model: string;
	/** Operation of a plain service; empty for a model. */
	readonly operation: string;
	readonly maxOutputTokens: number;
	readonly priority: number;
	readonly fencingNumber: bigint;
	readonly isIdempotent: boolean;
	readonly traceparent: string;
};
