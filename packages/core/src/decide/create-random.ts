/**
A seeded pseudorandom number generator, so that a run can be repeated.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from './random.js';

/** Returns a generator whose sequence depends on the seed alone. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
