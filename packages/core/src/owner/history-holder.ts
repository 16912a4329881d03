/**
An entry host that stores copies of a shard's program histories.
*/
import type {HostId} from '../ids/host-id.js';

/** A holder as recorded in the shard's log. */
export type HistoryHolder = {
	readonly host: HostId;
	readonly peerAddress: string;
	/** Random id of the data folder. A replaced folder has another id and does not count as a copy. */
	readonly dataFolderId: string;
};
