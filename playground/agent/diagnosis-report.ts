/**
The outcome of the playground's agent program.
*/

/** What the program did, for the checks after it. */
export type DiagnosisReport = {
	readonly program: string;
	readonly child: string;
	readonly bookingRequestId: string;
	/** Answers to the two copies of the booking. */
	readonly bookingAnswers: readonly [string, string];
	readonly turns: number;
};
