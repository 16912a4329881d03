/**
Draws text that compresses about as well as people's sentences do; links and
HTTP compress what they carry.
*/
import {createRandom} from '@siskinhub/core/decide/create-random.js';

const SEED = 7;
const VOCABULARY = 2000;
const LONGEST_WORD = 10;
const ALPHABET = 'etaoinshrdlucmfwypvbgkqjxz';

const drawWord = (random: () => number): string => Array.from(
	{length: 2 + Math.floor(random() * (LONGEST_WORD - 1))},
	() => ALPHABET[Math.floor((random() ** 2) * ALPHABET.length)],
).join('');

/** The same text of `bytes` bytes each time. */
export const drawText = (bytes: number): string => {
	const random = createRandom(SEED);
	const words = Array.from({length: VOCABULARY}, () => drawWord(random));
	let text = '';
	while (text.length < bytes) {
		text += `${words[Math.floor((random() ** 2) * VOCABULARY)]} `;
	}

	return text.slice(0, bytes);
};
