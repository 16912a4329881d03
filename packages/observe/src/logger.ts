/**
Type of the structured logger.
*/
import type {LogFields} from './log-fields.js';

type LogMethod = (msg: string, fields?: LogFields) => void;

/** A structured logger; no method throws. */
export type Logger = {
	readonly trace: LogMethod;
	readonly debug: LogMethod;
	readonly info: LogMethod;
	readonly warn: LogMethod;
	readonly error: LogMethod;
	/** Returns a logger that adds `fields` to each line. */
	readonly child: (fields: LogFields) => Logger;
};
