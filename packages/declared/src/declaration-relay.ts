/**
Another process of the system that reads the platform's service and passes on
what it reads.
*/
import type {DeclaredChanges} from './declared-changes.js';

export type DeclarationRelay = {
	/** Tells relays apart. */
	readonly id: string;
	/** Calls `onRead` after each successful read of the relay, with the changes since `after` or since the previous call, and `onLost` once the relay cannot be reached. `close` ends the calls. */
	readonly follow: (after: number, onRead: (changes: DeclaredChanges) => void, onLost: () => void) => {readonly close: () => void};
};
