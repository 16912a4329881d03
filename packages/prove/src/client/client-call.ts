/**
A call as a client of a proof sends it.
*/

/** `mark` is sent as the request id and is also part of the input. */
export type ClientCall = {
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
