/**
Defines how a log is opened: who writes to it, how its items are folded into a
state, and its limits.
*/
import type {Result} from 'neverthrow';
import type {PlatformClient} from '../platform-client.js';

/** Options of `openLog`. */
export type LogOptions<Item, State, Rejection> = {
	readonly client: PlatformClient;
	/** Name of the log; its keys begin with the name and a slash. */
	readonly log: string;
	/** Identifies this process in the entries that it writes. */
	readonly writer: string;
	/** Returns a random string, unique for each commit. */
	readonly createCommitId: () => string;
	/** When another writer adds an entry: `exclusive` fences this writer permanently; `shared` folds the entry and retries the append after it. */
	readonly mode: 'exclusive' | 'shared';
	readonly initialState: State;
	/** Returns the state after an item. Must be pure, and the state must be serializable as JSON. */
	readonly fold: (state: State, item: Item, index: number) => State;
	/** Validates an item against the state that precedes it, before each attempt to write it; may return another item to write instead. */
	readonly prepare?: (item: Item, state: State) => Result<Item, Rejection>;
	/** Minimum time between two writes, in milliseconds; appends made in the meantime share the next write. */
	readonly commitWindowMs: number;
	/** Default timeout of an append, in milliseconds; also the timeout of `refresh`. */
	readonly appendTimeoutMs?: number;
	/** Number of slots in the ring; must be the same in all processes. */
	readonly slotCount?: number;
	/** Maximum size of the state as UTF-8 JSON, in bytes; the snapshot must fit into one key. */
	readonly maxStateBytes?: number;
};
