/**
Counts the calls of rows whose concurrency is limited.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';

/** Kept by the owner of the shard that the row's name hashes to, for the calls of all shards. */
export type SlotTable = {
	/** Acquires or renews a slot; false if all are taken. */
	readonly acquire: (row: RowKey, slot: string, limit: number) => boolean;
	readonly release: (row: RowKey, slot: string) => void;
};
