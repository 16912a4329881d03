/**
A prompt as the stand-in engine reads it.
*/

/** What the engine derives from the messages of a request. */
export type Prompt = {
	readonly text: string;
	readonly sha256: string;
	readonly tokens: number;
	/** The answer's length before `max_tokens` cuts it. */
	readonly wantedTokens: number;
	/** Whether the engine ignores `max_tokens` for this prompt. */
	readonly overruns: boolean;
	/** The text after the last `[[mark=` of the prompt, by which a test recognises the request. */
	readonly mark: string;
};
