/**
One attempt of a call, as a client of a proof makes it.
*/

/** `mark` is sent as the request id and stands in the input too. */
export type CallRequest = {
	readonly program: string;
	readonly mark: string;
	readonly turn: number;
	readonly isIdempotent: boolean;
	readonly target: {readonly model: string} | {readonly service: string; readonly operation: string};
	readonly input: unknown;
	readonly deadlineMs: number;
	readonly maxOutputTokens?: number;
	readonly after?: string;
};
