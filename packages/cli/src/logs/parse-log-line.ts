/**
Parses one line of a daemon's log.
*/
import {fromThrowable} from 'neverthrow';
import * as z from 'zod';
import type {LogLine} from './log-line.js';

const LineSchema = z.looseObject({time: z.string(), host: z.string(), msg: z.string()});

const parseJson = fromThrowable((text: string): unknown => JSON.parse(text));

/** Skips any prefix that a log collector put before the JSON object. Returns `undefined` for a line that is not a log entry. */
export const parseLogLine = (file: string, line: string): LogLine | undefined => {
	const start = line.indexOf('{');
	const value = start === -1 ? undefined : parseJson(line.slice(start)).unwrapOr(undefined);
	const parsed = LineSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {time, host, msg, ...fields} = parsed.data;
	return {
		file, time, host, msg, fields,
	};
};
