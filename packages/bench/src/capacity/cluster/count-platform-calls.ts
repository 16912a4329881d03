/**
Reads how many calls the platform stand-in has received.
*/
import {readJson} from './read-json.js';

/** Counts reads, writes and watches since the stand-in started. */
export const countPlatformCalls = async (address: string): Promise<number> => {
	const {reads, writes, watches} = await readJson(`${address}/stats`) as {readonly reads: number; readonly writes: number; readonly watches: number};
	return reads + writes + watches;
};
