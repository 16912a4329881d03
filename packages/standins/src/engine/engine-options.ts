/**
Options of an engine stand-in.
*/

/** What the engine serves, how fast, and how it behaves; the process takes them from its arguments. */
export type EngineOptions = {
	/** The engine's name in its records; the model's name by default. */
	readonly name?: string;
	/** The only model that the engine serves. */
	readonly model: string;
	/** Number of requests that run at the same time; further requests are queued. */
	readonly slots: number;
	/** Time between two tokens of a request, in milliseconds; 0 generates without waiting. */
	readonly tokenDelayMs: number;
	/** Capacity of the prefix cache, in tokens. */
	readonly cacheTokens: number;
	/** Whether requests with a lower fencing number than the highest seen are refused. */
	readonly checksFencing: boolean;
	/** Whether two runs of one prompt answer differently, as on engines that sample tokens. */
	readonly variesAnswers: boolean;
	/** File that records are appended to, so that they survive a crash. */
	readonly recordsFile?: string;
	/** Initial value of the fault `crashOn`: a prompt that contains this text crashes the engine. */
	readonly crashOn?: string;
	/** Called when a prompt crashes the engine. */
	readonly crash: () => void;
};
