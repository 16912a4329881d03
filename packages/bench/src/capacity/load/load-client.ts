/**
Requests to one entry, made by callers that spend little on what they receive.
*/

type Call = {
	readonly program: string;
	readonly turn: number;
	readonly target: {readonly model: string} | {readonly service: string; readonly operation: string};
	readonly idempotent: boolean;
	readonly input: unknown;
	readonly outputTokens: number;
};

/** Requests to one entry; each throws unless it was answered in full. */
export type LoadClient = {
	/** Resolves with the program's id. */
	readonly startProgram: () => Promise<string>;
	readonly call: (call: Call) => Promise<void>;
	/** Posts a prompt straight to an engine, past the system. */
	readonly callEngine: (engineAddress: string, group: string, prompt: string, outputTokens: number) => Promise<void>;
	readonly close: () => Promise<void>;
};
