/**
Hashes a pair of names to a number that is the same in every process.
*/

// Constants of 32-bit FNV-1a.
const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const HASH_RANGE = 2 ** 32;

/** Returns a number from 0 (inclusive) to 1 (exclusive), uniformly distributed. */
export const hashPair = (a: string, b: string): number => {
	let hash = FNV_OFFSET;
	for (const char of `${a}\u0000${b}`) {
		hash = Math.imul(hash ^ char.codePointAt(0)!, FNV_PRIME); // eslint-disable-line no-bitwise
	}

	// FNV hashes of similar names differ in their last bits only; this mixes them into all bits.
	hash = Math.imul(hash ^ (hash >>> 15), 0x2C_1B_3C_6D); // eslint-disable-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 13), 0x29_7A_2D_39); // eslint-disable-line no-bitwise
	return ((hash ^ (hash >>> 16)) >>> 0) / HASH_RANGE; // eslint-disable-line no-bitwise
};
