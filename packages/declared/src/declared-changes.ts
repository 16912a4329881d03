/**
The changes of the declared state after some revision.
*/
import type {DeclaredEntry} from './declared-entry.js';

export type DeclaredChanges = {
	readonly entries: readonly DeclaredEntry[];
	/** The newest revision that the sender knows. */
	readonly revision: number;
	/** Whether `entries` is the whole state, so that no other keys exist at `revision`. */
	readonly isWhole: boolean;
	/** Milliseconds for which entries may still be missing because they lapsed in an outage of the platform's service; set by relays, and by neighbours that have heard from the service without a pause. */
	readonly lapseGraceMs?: number;
};
