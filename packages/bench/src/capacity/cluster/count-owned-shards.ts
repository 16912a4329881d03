/**
Asks an entry how many shards it owns.
*/
import {readJson} from './read-json.js';

/** The number that `GET /v1/status` lists. */
export const countOwnedShards = async (address: string): Promise<number> => {
	const {shards} = await readJson(`${address}/v1/status`) as {readonly shards: readonly unknown[]};
	return shards.length;
};
