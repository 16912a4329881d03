/**
A part of a prompt, by which engines and the gateway recognise shared prefixes.
*/

/** Requests whose prompts start with the same parts share an engine's prefix cache. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};
