/**
Lists the settings of a schema for the reference page, with their expected values,
defaults and descriptions.
*/
import * as z from 'zod';

type Setting = {
	/** Dotted path, such as `peer.port`. */
	readonly key: string;
	readonly expected: string;
	readonly fallback: string;
	readonly description: string;
};

type Unwrapped = {readonly inner: z.ZodType; readonly fallback: string};

// No setting accepts this value, so the error of each schema says what it expects.
const UNACCEPTABLE = Symbol('unacceptable');

const unwrap = (schema: z.ZodType): Unwrapped => {
	if (schema instanceof z.ZodOptional) {
		const {inner} = unwrap(schema.unwrap() as z.ZodType);
		const defaultText = schema.meta()?.defaultText;
		return {inner, fallback: typeof defaultText === 'string' ? defaultText : 'none'};
	}

	if (schema instanceof z.ZodPrefault) {
		return {inner: schema.unwrap() as z.ZodType, fallback: 'the defaults below'};
	}

	return schema instanceof z.ZodDefault
		? {inner: schema.unwrap() as z.ZodType, fallback: `\`${JSON.stringify(schema.def.defaultValue).replaceAll('"', '')}\``}
		: {inner: schema, fallback: 'required'};
};

const describe = (schema: z.ZodType, key: string): string => {
	if (schema.description === undefined) {
		throw new Error(`the setting ${key} has no description: add one to its schema`);
	}

	return schema.description;
};

const listSetting = (key: string, schema: z.ZodType): readonly Setting[] => {
	const {inner, fallback} = unwrap(schema);
	const description = describe(schema, key);
	if (inner instanceof z.ZodObject) {
		return [{
			key, expected: 'a mapping', fallback, description,
		}, ...listSettings(inner, `${key}.`)];
	}

	const expected = inner.safeParse(UNACCEPTABLE).error?.issues[0]?.message ?? '';
	return [{
		key, expected, fallback, description,
	}];
};

/** Returns all settings of a mapping, depth first, in the order of the schema. */
export const listSettings = (schema: z.ZodObject, prefix = ''): readonly Setting[] =>
	Object.entries(schema.shape).flatMap(([name, value]) => listSetting(`${prefix}${name}`, value as z.ZodType));
