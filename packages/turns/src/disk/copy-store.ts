/**
Interface of the store of copies of turns and token uses on one disk.
*/
import type {Result} from 'neverthrow';
import type {GroupId} from '../membership/group-id.js';
import type {CopyRecord} from './copy-record.js';
import type {createCopyIndex} from './create-copy-index.js';

type CopyIndex = ReturnType<typeof createCopyIndex>;

/** `add` updates the index immediately and resolves once the record is on the disk. */
export type CopyStore = {
	readonly diskId: string;
	/** Whether the folder was empty when the store was opened, so that the disk has no copies yet. */
	readonly isNew: boolean;
	/** The records of one replica group; empty if the disk has none. */
	readonly getIndex: (group: GroupId) => CopyIndex;
	/** Adds a record to a group. */
	readonly add: (group: GroupId, fact: CopyRecord) => Promise<Result<void, string>>;
	/** Number of records of all groups. */
	readonly size: () => number;
	/** Removes what is past its retention and frees its space on the disk; calls must not overlap. */
	readonly compact: () => Promise<Result<void, string>>;
	/** Size of the log in bytes. */
	readonly bytes: () => number;
	/** Number of records that were written since the store was opened, without those that compactions rewrote. */
	readonly added: () => number;
	/** Number of fsyncs since the last compaction. */
	readonly syncs: () => number;
	readonly close: () => Promise<void>;
};
