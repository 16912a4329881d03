/**
Builds the schema of one mapping of a settings file.
*/
import * as z from 'zod';

/** A mapping that takes only the keys of `shape`; a fault names the keys that it takes. */
export const buildSection = <Shape extends z.ZodRawShape>(shape: Shape) => z.strictObject(shape, {
	error: issue => issue.code === 'unrecognized_keys'
		? `one of the keys ${Object.keys(shape).join(', ')}`
		: `a mapping with the keys ${Object.keys(shape).join(', ')}`,
});
