/**
The part of an entry that stores copies of program histories for shard owners.
*/
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';

export type HistoryHolderService = {
	/** Random id of the data folder; empty without one. */
	readonly dataFolderId: string;
	/** Replies to a message about copies; undefined for every other message. */
	readonly answer: (body: MessageBody) => Promise<MessageBodyInit | undefined>;
	readonly close: () => Promise<void>;
};
