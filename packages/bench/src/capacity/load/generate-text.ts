/**
Generates text that compresses about as well as natural language, because links
and HTTP compress their content.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';

const SEED = 7;
const VOCABULARY_SIZE = 2000;
const MAX_WORD_LETTERS = 10;
const ALPHABET = 'etaoinshrdlucmfwypvbgkqjxz';

const generateWord = (random: () => number): string => Array.from(
	{length: 2 + Math.floor(random() * (MAX_WORD_LETTERS - 1))},
	() => ALPHABET[Math.floor((random() ** 2) * ALPHABET.length)],
).join('');

/** Returns `bytes` bytes of ASCII text, the same on every call. */
export const generateText = (bytes: number): string => {
	const random = createRandom(SEED);
	const words = Array.from({length: VOCABULARY_SIZE}, () => generateWord(random));
	let text = '';
	while (text.length < bytes) {
		text += `${words[Math.floor((random() ** 2) * VOCABULARY_SIZE)]} `;
	}

	return text.slice(0, bytes);
};
