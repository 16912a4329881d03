/**
Builds the schema of one YAML mapping of a settings file.
*/
import * as z from 'zod';

/** A mapping that allows only the keys of `shape`; its errors list these keys. */
export const buildSectionSchema = <Shape extends z.ZodRawShape>(shape: Shape) => z.strictObject(shape, {
	error: issue => issue.code === 'unrecognized_keys'
		? `one of the keys ${Object.keys(shape).join(', ')}`
		: `a mapping with the keys ${Object.keys(shape).join(', ')}`,
});
