/**
A call of an agent program.
*/

/** The body of the call, and the program that it belongs to. */
export type AgentCall = {
	readonly program: string;
	readonly turn: number;
	readonly requestId: string;
	readonly idempotent: boolean;
	readonly target: {readonly model: string} | {readonly service: string; readonly operation: string};
	readonly input: unknown;
	readonly maxOutputTokens?: number;
};
