/**
A part of a prompt.
*/

/** Requests whose prompts begin with the same parts share the memory of engines. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};
