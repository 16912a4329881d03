/**
Extracts the spans from the log of a process.
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

/** Skips lines that are not spans. */
export const parseHops = (log: string): Hop[] => log.split('\n').flatMap(line => parseLine(line) ?? []);
