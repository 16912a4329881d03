/**
Unwraps results that a test expects to be `ok`.
*/
import type {Result} from 'neverthrow';

/** Waits for a result and returns its value; throws if it is an error. */
export const unwrap = async <Value>(pending: Promise<Result<Value, unknown>>): Promise<Value> => {
	const result = await pending;
	return result._unsafeUnwrap();
};
