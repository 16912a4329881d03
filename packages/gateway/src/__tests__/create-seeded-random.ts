/**
Random numbers for simulations: the same seed gives the same numbers.
*/

const MULTIPLIER = 1_103_515_245;
const INCREMENT = 12_345;
const MODULUS = 2 ** 31;

/** Returns a generator of numbers that are uniformly distributed in [0, 1). */
export const createSeededRandom = (seed: number) => {
	let state = seed;
	return (): number => {
		state = ((state * MULTIPLIER) + INCREMENT) % MODULUS;
		return state / MODULUS;
	};
};
