/**
Formats log lines.
*/
import type {LogFields} from './log-fields.js';

type LogLine = {
	readonly time: string;
	readonly level: string;
	readonly host: string;
	readonly msg: string;
};

const replaceValue = (_key: string, value: unknown): unknown => {
	if (value instanceof Error) {
		return {name: value.name, message: value.message, stack: value.stack};
	}

	return typeof value === 'bigint' ? value.toString() : value;
};

/** Returns one JSON object without a line break. `fields` never override those of `line`. If JSON cannot express `fields`, all of them are omitted and `fieldsError` gives the reason. */
export const formatLogLine = (line: LogLine, fields: LogFields): string => {
	try {
		return JSON.stringify({...line, ...fields, ...line}, replaceValue);
	} catch (error) {
		return JSON.stringify({...line, fieldsError: String(error)});
	}
};
