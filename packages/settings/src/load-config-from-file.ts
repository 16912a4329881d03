/**
Loads settings files.
*/
import {readFile} from 'node:fs/promises';
import {err, ResultAsync, type Result} from 'neverthrow';
import type * as z from 'zod';
import type {ConfigError} from './config-error.js';
import {parseConfig} from './parse-config.js';

/** Reads and checks a settings file. Returns the settings with their defaults, or all errors, each with its file, line and key. */
export const loadConfigFromFile = async <Schema extends z.ZodType>(path: string, schema: Schema): Promise<Result<z.output<Schema>, readonly ConfigError[]>> => {
	const text = await ResultAsync.fromPromise(readFile(path, 'utf8'), error => (error as NodeJS.ErrnoException).code ?? 'an error');
	return text.isOk()
		? parseConfig(path, text.value, schema)
		: err([{
			file: path, key: '', expected: 'a settings file that can be read', found: text.error,
		}]);
};
