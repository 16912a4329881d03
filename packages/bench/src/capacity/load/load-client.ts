/**
The client that generates load on one entry.
*/

type Call = {
	readonly program: string;
	readonly turn: number;
	readonly target: {readonly model: string} | {readonly service: string; readonly operation: string};
	readonly idempotent: boolean;
	readonly input: unknown;
	readonly outputTokens: number;
};

/** Requests to one entry; each resolves when the response is complete and rejects if it is an error or was cut off. */
export type LoadClient = {
	/** Resolves with the program's id. */
	readonly startProgram: () => Promise<string>;
	readonly call: (call: Call) => Promise<void>;
	/** Sends a prompt directly to an engine, bypassing the system; `group` is the engine's cache group. */
	readonly callEngine: (engineAddress: string, group: string, prompt: string, outputTokens: number) => Promise<void>;
	readonly close: () => Promise<void>;
};
