/**
Formats errors in settings files.
*/
import type {ConfigError} from './config-error.js';

/** Returns one line, without a line break: `FILE:LINE: KEY: expected …, found …`. */
export const formatConfigError = ({file, line, key, expected, found}: ConfigError): string => {
	const location = line === undefined ? file : `${file}:${line}`;
	const keyPrefix = key === '' ? '' : `${key}: `;
	return `${location}: ${keyPrefix}expected ${expected}, found ${found ?? 'nothing'}`;
};
