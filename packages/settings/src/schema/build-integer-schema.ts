/**
Builds the schema of a whole number.
*/
import * as z from 'zod';

/** A whole number from `min` to `max`, both inclusive, that is a multiple of `step`. */
export const buildIntegerSchema = (min: number, max: number, step = 1) => {
	const error = `a whole number from ${min} to ${max}${step === 1 ? '' : ` that is a multiple of ${step}`}`;
	return z.number({error}).int({error}).min(min, {error}).max(max, {error}).multipleOf(step, {error});
};
