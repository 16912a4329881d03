/**
Reads the spans among the lines of a process's log.
*/
import type {Hop} from './hop.js';

const parseLine = (line: string): Hop | undefined => {
	try {
		const value = JSON.parse(line) as Hop & {readonly msg?: string};
		return value.msg === 'span' ? value : undefined;
	} catch {
		return undefined;
	}
};

/** Lines that are no span are left out. */
export const parseHops = (log: string): Hop[] => log.split('\n').flatMap(line => parseLine(line) ?? []);
