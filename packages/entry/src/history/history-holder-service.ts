/**
The part of an entry that keeps copies of histories for the owners of shards.
*/
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

/** Answers messages about copies; undefined for a message that is about something else. */
export type HistoryHolderService = {
	readonly dataFolderId: string;
	readonly answer: (body: Body) => Promise<BodyInit | undefined>;
	readonly close: () => Promise<void>;
};
