/**
What the playground's agent program did, as its caller saw it.
*/

/** Input of the checks that follow the run. */
export type DiagnosisReport = {
	readonly program: string;
	readonly child: string;
	readonly bookingRequestId: string;
	/** Answers to the two identical booking requests. */
	readonly bookingAnswers: readonly [string, string];
	readonly turns: number;
};
