/**
Copies on one disk.
*/
import type {Result} from 'neverthrow';
import type {createCopyIndex} from './create-copy-index.js';
import type {CopyRecord} from './copy-record.js';

/** `add` resolves once the fact is on the disk; the index has it at once. */
export type CopyStore = {
	readonly diskId: string;
	/** The folder was empty: nothing that was ever stored elsewhere is here. */
	readonly isNew: boolean;
	readonly index: ReturnType<typeof createCopyIndex>;
	readonly add: (fact: CopyRecord) => Promise<Result<void, string>>;
	/** Forgets what is past its retention and frees its place on the disk; calls must not overlap. */
	readonly compact: () => Promise<Result<void, string>>;
	/** Bytes of the log. */
	readonly bytes: () => number;
	/** Number of fsyncs since the last compaction. */
	readonly syncs: () => number;
	readonly close: () => Promise<void>;
};
