/**
One entry host that keeps copies of a shard's histories.
*/
import type {HostId} from '../ids/host-id.js';

/** A holder as the shard's log names it. */
export type HistoryHolder = {
	readonly host: HostId;
	readonly peerAddress: string;
	/** Random id of the data folder; a folder that was replaced does not count as a copy. */
	readonly dataFolderId: string;
};
