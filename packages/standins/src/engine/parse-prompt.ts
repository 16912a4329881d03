/**
Reads a prompt and the directives that a test may have put into it:
`[[tokens=N]]` asks for a length, `[[mark=TEXT]]` names the request in the
records, `[[overrun]]` makes the engine ignore `max_tokens`. The last of each
counts, because a prompt holds the turns before it.
*/
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {Prompt} from './prompt.js';

const BYTES_PER_TOKEN = 4;
const LEAST_WANTED_TOKENS = 16;
const WANTED_TOKENS_SPREAD = 48;

const findLast = (text: string, pattern: RegExp): string | undefined => [...text.matchAll(pattern)].at(-1)?.[1];

/** Derives everything from the messages' JSON text; equal messages give equal prompts. */
export const parsePrompt = (messages: unknown): Prompt => {
	const text = JSON.stringify(messages ?? []);
	const hash = createHash('sha256').update(text).digest();
	const asked = findLast(text, /\[\[tokens=(\d{1,6})\]\]/gv);
	const lastMessage = JSON.stringify(Array.isArray(messages) ? messages.at(-1) as unknown : messages) ?? '';
	return {
		text,
		sha256: hash.toString('hex'),
		tokens: Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN),
		wantedTokens: asked === undefined ? LEAST_WANTED_TOKENS + ((hash[0] ?? 0) % WANTED_TOKENS_SPREAD) : Number(asked),
		overruns: lastMessage.includes('[[overrun]]'),
		mark: findLast(text, /\[\[mark=([^\[\]]{1,128})\]\]/gv) ?? '',
	};
};
