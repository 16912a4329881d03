/**
A call that an agent program makes in one of its turns.
*/

/** `program` is part of the request's path; the other fields are its body. */
export type AgentCall = {
	readonly program: string;
	readonly turn: number;
	readonly requestId: string;
	readonly idempotent: boolean;
	readonly target: {readonly model: string} | {readonly service: string; readonly operation: string};
	readonly input: unknown;
	readonly maxOutputTokens?: number;
};
