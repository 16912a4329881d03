/**
The one primitive for what must last: an ordered log kept in the platform's
service, whose creation of entry n is the fence between two writers.
*/
import type {Result} from 'neverthrow';

/** Why an append did not happen, or cannot be known to have happened. */
type AppendError =
	// Another writer owns the log now; nothing of this append stands in it.
	| {readonly kind: 'fenced'}
	// The platform did not answer in time; the log resolves the fate before its next append.
	| {readonly kind: 'unavailable'; readonly message: string};

/** A log of JSON records of type `Item`, folded into a state of type `State`. */
export type ReplicatedLog<Item, State> = {
	/** Index of the last entry folded into `state()`. */
	readonly index: () => number;
	readonly state: () => State;
	/** Appends with group commit: appends made while a write is in flight share the next write. */
	readonly append: (item: Item) => Promise<Result<{readonly index: number}, AppendError>>;
	/** Reads entries that others wrote. */
	readonly refresh: () => Promise<Result<void, {readonly kind: 'unavailable'; readonly message: string}>>;
};
