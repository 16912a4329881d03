/**
Writes lines to the segment files of a data folder.
*/
import type {Result} from 'neverthrow';
import type {HistoryError} from '../history-error.js';
import type {Location} from './location.js';

/** Where a line will stand, known at once, and when it has reached the disk. */
type PendingAppend = {
	readonly location: Location;
	readonly done: Promise<Result<void, HistoryError>>;
};

/** The only writer of a data folder. */
export type LogWriter = {
	readonly append: (line: Uint8Array) => PendingAppend;
	/** Resolves when every line given so far has reached the disk. */
	readonly flush: () => Promise<Result<void, HistoryError>>;
	readonly segment: () => number;
	/** Number of fsyncs so far, which group commit keeps below the number of appends. */
	readonly syncs: () => number;
	readonly close: () => Promise<void>;
};
