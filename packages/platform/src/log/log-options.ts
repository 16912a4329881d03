/**
How a log is opened.
*/
import type {Result} from 'neverthrow';
import type {PlatformClient} from '../platform-client.js';

/** Options of `openLog`. */
export type LogOptions<Item, State, Rejection> = {
	readonly client: PlatformClient;
	/** The log's name: the part of its keys before the slash. */
	readonly log: string;
	/** Names this process in its entries. */
	readonly writer: string;
	/** Random text, unique for each commit. */
	readonly createCommitId: () => string;
	/** `exclusive`: an entry of another writer fences this one for good. `shared`: it is folded and the append made again after it. */
	readonly mode: 'exclusive' | 'shared';
	readonly initialState: State;
	/** Folds one item. Pure; the state must survive JSON. */
	readonly fold: (state: State, item: Item, index: number) => State;
	/** Checks an item against the state that it will meet, each time it is about to be written; may replace it. */
	readonly prepare?: (item: Item, state: State) => Result<Item, Rejection>;
	/** Shortest time between two writes, in milliseconds; appends made meanwhile share the next one. */
	readonly commitWindowMs: number;
	/** How long an append may wait unless it says otherwise, in milliseconds. */
	readonly appendTimeoutMs?: number;
	/** Slots of the ring; must be the same in all processes. */
	readonly slotCount?: number;
	/** Largest state that the snapshot may hold, in bytes. */
	readonly maxStateBytes?: number;
};
