/**
Defines what one process knows of a log: the state that it has folded so far and
the versions of the keys that it has seen.
*/
import type {Result} from 'neverthrow';
import type {KeyValue} from '../key-value.js';
import type {PlatformError} from '../platform-error.js';
import type {LogEntry} from './log-entry.js';

type SnapshotMetadata = {
	/** Index of the last entry that the stored snapshot contains; 0 if there is no snapshot. */
	readonly through: number;
	/** Version of the snapshot's key; 0 if there is no snapshot. */
	readonly version: number;
};

/** One process's local view of a log. */
export type LogView<Item, State> = {
	/** Index of the last entry folded into `state()`; 0 for an empty log. */
	readonly index: () => number;
	readonly state: () => State;
	/** The stored snapshot as last seen. */
	readonly snapshot: () => SnapshotMetadata;
	/** Whether the slot of the next entry holds an entry that the snapshot doesn't contain, and so must not be overwritten yet. */
	readonly needsSnapshot: () => boolean;
	/** Whether at least half of the slots hold entries that the snapshot doesn't contain. */
	readonly isHalfFull: () => boolean;
	/** Last seen version of the slot that entry `index` is written to; 0 if the slot is empty. */
	readonly slotVersion: (index: number) => number;
	/** Folds the next entry; `version` is that of its slot. Throws if the entry is not the one after `index()`. */
	readonly applyEntry: (entry: LogEntry<Item>, version: number) => void;
	/** Records that the stored snapshot has changed. */
	readonly setSnapshot: (metadata: SnapshotMetadata) => void;
	/** Catches up from all records of the log, which must have been read in one call. Fails if they are invalid or an entry is missing. */
	readonly load: (records: readonly KeyValue[]) => Result<void, PlatformError>;
};
