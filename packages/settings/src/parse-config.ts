/**
Checks the text of a settings file against a schema.
*/
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type * as z from 'zod';
import type {ConfigFault} from './config-fault.js';
import {findLine} from './find-line.js';

const MAX_FOUND_CHARACTERS = 60;

const showFound = (value: unknown): string | undefined => {
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

/** An issue about unknown keys stands for one fault for each key. */
const listPaths = (issue: z.core.$ZodIssue): readonly PropertyKey[][] => issue.code === 'unrecognized_keys'
	? issue.keys.map(key => [...issue.path, key])
	: [issue.path];

const describeFound = (issue: z.core.$ZodIssue, value: unknown, path: readonly PropertyKey[]): string | undefined =>
	issue.code === 'unrecognized_keys' ? `the unknown key ${String(path.at(-1))}` : showFound(readPath(value, path));

const dropRepeated = (faults: readonly ConfigFault[]): readonly ConfigFault[] => {
	const byPlace = new Map(faults.map(fault => [`${fault.line} ${fault.key} ${fault.expected}`, fault]));
	return [...byPlace.values()].toSorted((a, b) => (a.line ?? 0) - (b.line ?? 0));
};

/** Parses and checks `text`; the error has every fault, in the order of lines. `file` only names the source. */
export const parseConfig = <Schema extends z.ZodType>(file: string, text: string, schema: Schema): Result<z.output<Schema>, readonly ConfigFault[]> => {
	const lines = new LineCounter();
	const doc = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	if (doc.errors.length > 0) {
		return err(dropRepeated(doc.errors.map(error => ({
			file, line: lines.linePos(error.pos[0]).line, key: '', expected: 'valid YAML', found: `a fault: ${error.message}`,
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

	return err(dropRepeated(parsed.error.issues.flatMap(issue => listPaths(issue).map(path => ({
		file, line: findLine(doc, lines, path), key: path.join('.'), expected: issue.message, found: describeFound(issue, value.value, path),
	})))));
};
