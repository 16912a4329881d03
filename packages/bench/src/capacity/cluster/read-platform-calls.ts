/**
Counts the calls that the platform stand-in has taken.
*/
import {readJson} from './read-json.js';

/** Reads, writes and watches together, since the start. */
export const readPlatformCalls = async (address: string): Promise<number> => {
	const {reads, writes, watches} = await readJson(`${address}/stats`) as {readonly reads: number; readonly writes: number; readonly watches: number};
	return reads + writes + watches;
};
