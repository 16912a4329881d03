/**
Parses the text of a settings file and checks it against a schema.
*/
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type * as z from 'zod';
import type {ConfigError} from './config-error.js';
import {findLine} from './find-line.js';

const MAX_FOUND_CHARACTERS = 60;

const formatFoundValue = (value: unknown): string | undefined => {
	const text = JSON.stringify(value) as string | undefined;
	return text !== undefined && text.length > MAX_FOUND_CHARACTERS ? `${text.slice(0, MAX_FOUND_CHARACTERS)}…` : text;
};

const readPath = (value: unknown, path: readonly PropertyKey[]): unknown => {
	let current = value;
	for (const key of path) {
		current = (current as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return current;
};

/** An issue about unknown keys gives one path for each key, so that each is reported separately. */
const listPaths = (issue: z.core.$ZodIssue): readonly PropertyKey[][] => issue.code === 'unrecognized_keys'
	? issue.keys.map(key => [...issue.path, key])
	: [issue.path];

const describeFound = (issue: z.core.$ZodIssue, value: unknown, path: readonly PropertyKey[]): string | undefined =>
	issue.code === 'unrecognized_keys' ? `the unknown key ${String(path.at(-1))}` : formatFoundValue(readPath(value, path));

const sortAndDeduplicate = (errors: readonly ConfigError[]): readonly ConfigError[] => {
	const unique = new Map(errors.map(error => [`${error.line} ${error.key} ${error.expected}`, error]));
	return [...unique.values()].toSorted((a, b) => (a.line ?? 0) - (b.line ?? 0));
};

/** Returns the settings with their defaults, or all errors in the order of lines. `file` is only used in the errors. */
export const parseConfig = <Schema extends z.ZodType>(file: string, text: string, schema: Schema): Result<z.output<Schema>, readonly ConfigError[]> => {
	const lines = new LineCounter();
	const doc = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	if (doc.errors.length > 0) {
		return err(sortAndDeduplicate(doc.errors.map(error => ({
			file, line: lines.linePos(error.pos[0]).line, key: '', expected: 'valid YAML', found: `an error: ${error.message}`,
		}))));
	}

	const value = fromThrowable((): unknown => doc.toJS())();
	if (value.isErr()) {
		return err([{
			file, line: 1, key: '', expected: 'YAML whose aliases resolve', found: String(value.error),
		}]);
	}

	const parsed = schema.safeParse(value.value ?? {});
	if (parsed.success) {
		return ok(parsed.data);
	}

	return err(sortAndDeduplicate(parsed.error.issues.flatMap(issue => listPaths(issue).map(path => ({
		file, line: findLine(doc, lines, path), key: path.join('.'), expected: issue.message, found: describeFound(issue, value.value, path),
	})))));
};
