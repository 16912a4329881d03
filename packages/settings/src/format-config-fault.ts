/**
Formats errors in settings files.
*/
import type {ConfigFault} from './config-fault.js';

/** Returns one line, without a line break: `FILE:LINE: KEY: expected …, found …`. */
export const formatConfigFault = ({file, line, key, expected, found}: ConfigFault): string => {
	const location = line === undefined ? file : `${file}:${line}`;
	const keyPrefix = key === '' ? '' : `${key}: `;
	return `${location}: ${keyPrefix}expected ${expected}, found ${found ?? 'nothing'}`;
};
