/**
Parses a prompt and the directives that a test can put into it: `[[tokens=N]]`
sets the length of the answer, `[[mark=TEXT]]` names the request in the records,
`[[overrun]]` makes the engine ignore `max_tokens`. A prompt repeats earlier
turns with their directives, so only the last `tokens` and `mark` count, and
`[[overrun]]` only in the last message.
*/
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {Prompt} from './prompt.js';

const BYTES_PER_TOKEN = 4;
const MIN_WANTED_TOKENS = 16;
const WANTED_TOKENS_RANGE = 48;

const findLastMatch = (text: string, pattern: RegExp): string | undefined => [...text.matchAll(pattern)].at(-1)?.[1];

/** Derives everything from the JSON text of the messages, so that equal messages give equal prompts. */
export const parsePrompt = (messages: unknown): Prompt => {
	const text = JSON.stringify(messages ?? []);
	const hash = createHash('sha256').update(text).digest();
	const requestedTokens = findLastMatch(text, /\[\[tokens=(\d{1,6})\]\]/gv);
	const lastMessage = JSON.stringify(Array.isArray(messages) ? messages.at(-1) as unknown : messages) ?? '';
	return {
		text,
		sha256: hash.toString('hex'),
		tokens: Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN),
		wantedTokens: requestedTokens === undefined ? MIN_WANTED_TOKENS + ((hash[0] ?? 0) % WANTED_TOKENS_RANGE) : Number(requestedTokens),
		ignoresMaxTokens: lastMessage.includes('[[overrun]]'),
		mark: findLastMatch(text, /\[\[mark=([^\[\]]{1,128})\]\]/gv) ?? '',
	};
};
