/**
Reads how many calls the platform stand-in has received.
*/
import {fetchJson} from './fetch-json.js';

/** Counts reads, writes and watches since the stand-in started. */
export const countPlatformCalls = async (address: string): Promise<number> => {
	const {reads, writes, watches} = await fetchJson(`${address}/stats`) as {readonly reads: number; readonly writes: number; readonly watches: number};
	return reads + writes + watches;
};
