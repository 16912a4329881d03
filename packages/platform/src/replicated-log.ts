/**
Defines the only primitive for durable state: an ordered log that is stored in
the platform's service. Entry n can be created only once, by compare-and-swap,
and this fences concurrent writers. `docs/design/log.md` describes how the log is
stored.
*/
import type {Result} from 'neverthrow';
import type {AppendError} from './log/append-error.js';
import type {PlatformError} from './platform-error.js';

/** A log of JSON items of type `Item`, which are folded into a state of type `State`. */
export type ReplicatedLog<Item, State, Rejection = never> = {
	/** Index of the last entry folded into `state()`. */
	readonly index: () => number;
	/** The state after entry `index()`. */
	readonly state: () => State;
	/** Whether another writer has taken over the exclusive log, as far as this process has seen; always `false` for a shared log. */
	readonly isFenced: () => boolean;
	/**
	Appends an item and returns the index of its entry. Appends made while a write
	is in flight share the next one (group commit). The result comes within
	`timeoutMs`, whose default is the `appendTimeoutMs` of the log's options.
	*/
	readonly append: (item: Item, options?: {readonly timeoutMs?: number}) => Promise<Result<{readonly index: number}, AppendError<Rejection>>>;
	/** Reads and folds the entries that other writers have added. */
	readonly refresh: () => Promise<Result<void, PlatformError>>;
	/** Stops writing. Queued appends are settled immediately with `unavailable`. */
	readonly close: () => void;
};
