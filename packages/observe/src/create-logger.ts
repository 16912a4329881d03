/**
Creates structured loggers with the library loglevel.
*/
import process from 'node:process';
import loglevel from 'loglevel';
import {formatLogLine} from './format-log-line.js';
import type {LogFields} from './log-fields.js';
import type {LogLevel} from './log-level.js';
import type {Logger} from './logger.js';

type LoggerOptions = {
	readonly level: LogLevel;
	readonly host: string;
	/** Called with each line; by default lines are written to standard error. */
	readonly write?: (line: string) => void;
};

const writeToStderr = (line: string): void => {
	process.stderr.write(`${line}\n`);
};

const bindFields = (target: loglevel.Logger, bound: LogFields): Logger => ({
	trace(msg, fields) {
		target.trace(msg, {...bound, ...fields});
	},
	debug(msg, fields) {
		target.debug(msg, {...bound, ...fields});
	},
	info(msg, fields) {
		target.info(msg, {...bound, ...fields});
	},
	warn(msg, fields) {
		target.warn(msg, {...bound, ...fields});
	},
	error(msg, fields) {
		target.error(msg, {...bound, ...fields});
	},
	child: fields => bindFields(target, {...bound, ...fields}),
});

/** Creates a logger that writes one JSON object per line, with `time`, `level`, `host`, `msg` and the given fields. */
export const createLogger = ({level, host, write = writeToStderr}: LoggerOptions): Logger => {
	const target = loglevel.getLogger(Symbol('siskinhub'));
	target.methodFactory = methodName => (msg: string, fields: LogFields) => {
		const time = new Date().toISOString();
		write(formatLogLine({
			time, level: methodName, host, msg,
		}, fields));
	};

	target.setLevel(level, false);
	return bindFields(target, {});
};
