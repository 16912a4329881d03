/**
A violation that a checker found in a recorded run.
*/

/** One broken guarantee. */
export type Violation = {
	readonly message: string;
	/** When it became observable, in milliseconds since the Unix epoch; violations are reported in this order. */
	readonly at: number;
	/** Logical requests and programs whose events are shown in the timeline. */
	readonly marks?: readonly string[];
	readonly programs?: readonly string[];
};
