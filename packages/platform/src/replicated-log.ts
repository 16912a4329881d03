/**
The one primitive for what must last: an ordered log kept in the platform's
service, whose creation of entry n is the fence between two writers.
`docs/design/log.md` describes how it is stored.
*/
import type {Result} from 'neverthrow';
import type {AppendError} from './log/append-error.js';
import type {PlatformError} from './platform-error.js';

/** A log of JSON records of type `Item`, folded into a state of type `State`. */
export type ReplicatedLog<Item, State, Rejection = never> = {
	/** Index of the last entry folded into `state()`. */
	readonly index: () => number;
	readonly state: () => State;
	/** Whether another writer has taken an exclusive log over. */
	readonly isFenced: () => boolean;
	/**
	Appends with group commit: appends made while a write is in flight share the
	next write. The result comes within `timeoutMs`.
	*/
	readonly append: (item: Item, options?: {readonly timeoutMs?: number}) => Promise<Result<{readonly index: number}, AppendError<Rejection>>>;
	/** Reads entries that others wrote. */
	readonly refresh: () => Promise<Result<void, PlatformError>>;
	/** Stops writing; appends that wait are answered at once. */
	readonly close: () => void;
};
