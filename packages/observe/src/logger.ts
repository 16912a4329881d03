/**
What the system's processes write their log with.
*/
import type {LogFields} from './log-fields.js';

type LogMethod = (msg: string, fields?: LogFields) => void;

/** A structured log; no method throws. */
export type Logger = {
	readonly trace: LogMethod;
	readonly debug: LogMethod;
	readonly info: LogMethod;
	readonly warn: LogMethod;
	readonly error: LogMethod;
	/** A log whose lines all have `fields`. */
	readonly child: (fields: LogFields) => Logger;
};
