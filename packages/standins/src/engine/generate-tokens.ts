/**
The model of the engine stand-in: generates tokens that depend only on a key,
which is the prompt's hash unless answers vary. A checker can therefore compute
from a run's record the answer that the engine must have given.
*/
import {createHash} from 'node:crypto';

// About four bytes each. Several contain characters of two, three or four bytes.
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

/** Returns the first `count` tokens of the answer with the given key. */
export const generateTokens = (key: string, count: number): string[] => {
	const blocks = Math.ceil(count / TOKENS_PER_BLOCK);
	return Array.from({length: blocks}, (_, block) => generateBlock(key, block)).flat().slice(0, count);
};
