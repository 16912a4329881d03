/**
Interface of the store of copies of turns and token uses on one disk.
*/
import type {Result} from 'neverthrow';
import type {createCopyIndex} from './create-copy-index.js';
import type {CopyRecord} from './copy-record.js';

/** `add` updates the index immediately and resolves once the record is on the disk. */
export type CopyStore = {
	readonly diskId: string;
	/** Whether the folder was empty when the store was opened, so that the disk has no copies yet. */
	readonly isNew: boolean;
	readonly index: ReturnType<typeof createCopyIndex>;
	readonly add: (fact: CopyRecord) => Promise<Result<void, string>>;
	/** Removes what is past its retention and frees its space on the disk; calls must not overlap. */
	readonly compact: () => Promise<Result<void, string>>;
	/** Size of the log in bytes. */
	readonly bytes: () => number;
	/** Number of fsyncs since the last compaction. */
	readonly syncs: () => number;
	readonly close: () => Promise<void>;
};
