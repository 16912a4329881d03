/**
Counts the calls of rows whose concurrency is limited.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';

/** Kept by the owner of the shard that a row's name hashes to, for all shards together. */
export type SlotTable = {
	/** Takes a slot, or renews it; false if all are taken. */
	readonly acquire: (row: RowKey, slot: string, limit: number) => boolean;
	readonly release: (row: RowKey, slot: string) => void;
};
