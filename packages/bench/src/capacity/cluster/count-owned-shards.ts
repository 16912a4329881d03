/**
Reads how many shards an entry owns.
*/
import {fetchJson} from './fetch-json.js';

/** Counts the shards that `GET /v1/status` lists. */
export const countOwnedShards = async (address: string): Promise<number> => {
	const {shards} = await fetchJson(`${address}/v1/status`) as {readonly shards: readonly unknown[]};
	return shards.length;
};
