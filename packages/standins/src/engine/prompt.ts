/**
A prompt as the engine stand-in reads it.
*/

/** Text, length and directives of a request's messages. */
export type Prompt = {
	readonly text: string;
	readonly sha256: string;
	readonly tokens: number;
	/** Length of the answer if `max_tokens` does not limit it. */
	readonly wantedTokens: number;
	/** Whether the engine ignores `max_tokens` for this prompt. */
	readonly ignoresMaxTokens: boolean;
	/** Text of the last `[[mark=TEXT]]` in the prompt, by which a test recognises the request; empty without one. */
	readonly mark: string;
};
