/**
The stand-in engine's "model": tokens that depend on nothing but a key, which
is the prompt's hash unless answers vary, so that a checker can compute from a
record the answer that an engine must have given.
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

const generateBlock = (key: string, block: number): string[] => {
	const bytes = createHash('sha256').update(`${key}/${block}`).digest();
	return Array.from(bytes, byte => VOCABULARY[byte % VOCABULARY.length] ?? '');
};

/** Returns the first `count` tokens of the answer with this key. */
export const generateTokens = (key: string, count: number): string[] => {
	const blocks = Math.ceil(count / TOKENS_PER_BLOCK);
	return Array.from({length: blocks}, (_, block) => generateBlock(key, block)).flat().slice(0, count);
};
