/**
A number for a pair of names, the same in every process.
*/

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const MAX_HASH = 2 ** 32;

/** Evenly from 0 to 1. */
export const hashPair = (a: string, b: string): number => {
	let hash = FNV_OFFSET;
	for (const char of `${a}\u0000${b}`) {
		hash = Math.imul(hash ^ char.codePointAt(0)!, FNV_PRIME); // eslint-disable-line no-bitwise
	}

	// Close names differ in their last bits only; this spreads them over all.
	hash = Math.imul(hash ^ (hash >>> 15), 0x2C_1B_3C_6D); // eslint-disable-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 13), 0x29_7A_2D_39); // eslint-disable-line no-bitwise
	return ((hash ^ (hash >>> 16)) >>> 0) / MAX_HASH; // eslint-disable-line no-bitwise
};
