/**
The stand-in engine's "model": tokens that depend on nothing but the prompt's
hash, so that a checker can compute the answer that an engine must have given.
*/
import {createHash} from 'node:crypto';

// About four bytes each; several hold characters of two, three or four bytes.
const VOCABULARY = [
	' rope',
	' reel',
	' cord',
	' tilt',
	' nudo',
	' amarre',
	' year',
	' niño',
	' señal',
	' café',
	' 索',
	' 🪢',
	' lift',
	' lock',
	' wand',
	' pull',
	'ing',
	'ed',
	's',
	',',
	'.',
	' the',
	' a',
	' of',
	' is',
	' to',
	' in',
	' on',
	' ü',
	' ñ',
	' é',
	' 結び',
] as const;

const TOKENS_PER_BLOCK = 32;

const generateBlock = (promptSha256: string, block: number): string[] => {
	const bytes = createHash('sha256').update(`${promptSha256}/${block}`).digest();
	return Array.from(bytes, byte => VOCABULARY[byte % VOCABULARY.length] ?? '');
};

/** Returns the first `count` tokens of the answer to the prompt with this hash. */
export const generateTokens = (promptSha256: string, count: number): string[] => {
	const blocks = Math.ceil(count / TOKENS_PER_BLOCK);
	return Array.from({length: blocks}, (_, block) => generateBlock(promptSha256, block)).flat().slice(0, count);
};
