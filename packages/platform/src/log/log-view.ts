/**
What one process knows of a log.
*/
import type {Result} from 'neverthrow';
import type {KeyValue} from '../key-value.js';
import type {PlatformError} from '../platform-error.js';
import type {LogEntry} from './log-entry.js';

type KnownSnapshot = {
	/** Index of the last entry that the stored snapshot contains; 0 if there is none. */
	readonly through: number;
	readonly version: number;
};

/** The state at `index()`, and what the next writes need. */
export type LogView<Item, State> = {
	readonly index: () => number;
	readonly state: () => State;
	readonly snapshot: () => KnownSnapshot;
	/** Whether the next slot's entry is not part of the snapshot, so that it must not be replaced yet. */
	readonly needsSnapshot: () => boolean;
	/** Whether half of the slots are not part of the snapshot. */
	readonly isHalfFull: () => boolean;
	/** Version of the slot that entry `index` will be written to. */
	readonly slotVersion: (index: number) => number;
	/** Folds the next entry, which was stored under `version`. */
	readonly applyEntry: (entry: LogEntry<Item>, version: number) => void;
	/** Notes a snapshot that is stored. */
	readonly noteSnapshot: (known: KnownSnapshot) => void;
	/** Catches up with all keys of the log, read at one revision. */
	readonly load: (records: readonly KeyValue[]) => Result<void, PlatformError>;
};
