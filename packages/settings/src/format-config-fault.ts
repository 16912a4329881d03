/**
Prints faults of settings files.
*/
import type {ConfigFault} from './config-fault.js';

/** One line without a line break: `FILE:LINE: KEY: expected …, found …`. */
export const formatConfigFault = ({file, line, key, expected, found}: ConfigFault): string => {
	const place = line === undefined ? file : `${file}:${line}`;
	const subject = key === '' ? '' : `${key}: `;
	return `${place}: ${subject}expected ${expected}, found ${found ?? 'nothing'}`;
};
