/**
How a stand-in engine is set up.
*/

/** Everything that the server's arguments say. */
export type EngineOptions = {
	/** The engine's name in its records. */
	readonly name?: string;
	/** The one model that it serves. */
	readonly model: string;
	/** Requests that generate at the same time; the others wait. */
	readonly slots: number;
	/** Time between two tokens of a request, in milliseconds; 0 generates without waiting. */
	readonly tokenDelayMs: number;
	/** Tokens of prefixes that the cache holds before it evicts. */
	readonly cacheTokens: number;
	/** Whether lower fencing numbers than those seen are refused. */
	readonly checksFencing: boolean;
	/** Whether two runs of one prompt answer differently, as sampling engines do. */
	readonly variesAnswers: boolean;
	/** File to which records are appended, so that they survive a crash. */
	readonly recordsFile?: string;
	/** Text in a prompt that crashes the engine from the start. */
	readonly crashOn?: string;
	/** Called when a prompt crashes the engine. */
	readonly crash: () => void;
};
