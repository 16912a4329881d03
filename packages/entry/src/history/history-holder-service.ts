/**
The part of an entry that stores copies of program histories for shard owners.
*/
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

export type HistoryHolderService = {
	/** Random id of the data folder; empty without one. */
	readonly dataFolderId: string;
	/** Replies to a message about copies; undefined for every other message. */
	readonly answer: (body: Body) => Promise<BodyInit | undefined>;
	readonly close: () => Promise<void>;
};
