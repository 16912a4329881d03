/**
Interface of the writer that appends lines to the segment files of a data folder.
*/
import type {Result} from 'neverthrow';
import type {HistoryError} from '../history-error.js';
import type {EntryLocation} from './entry-location.js';

/** The location of a line, known immediately, and a promise that resolves when the line has reached the disk. */
type PendingAppend = {
	readonly location: EntryLocation;
	readonly done: Promise<Result<void, HistoryError>>;
};

/** A data folder must have only one writer at a time. */
export type LogWriter = {
	readonly append: (line: Uint8Array) => PendingAppend;
	/** Resolves when every line appended so far has reached the disk. */
	readonly flush: () => Promise<Result<void, HistoryError>>;
	/** Returns the number of the newest segment; before the first line, the number before the first segment. */
	readonly segment: () => number;
	/** Returns the number of fsyncs so far, which group commit keeps below the number of appends. */
	readonly syncs: () => number;
	readonly close: () => Promise<void>;
};
