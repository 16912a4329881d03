/**
What a checker found wrong.
*/

/** One broken promise. */
export type Violation = {
	readonly message: string;
	/** When it became visible, in milliseconds since the Unix epoch; violations are reported in this order. */
	readonly at: number;
	/** Logical requests, programs and processes whose events belong into the timeline. */
	readonly marks?: readonly string[];
	readonly programs?: readonly string[];
};
