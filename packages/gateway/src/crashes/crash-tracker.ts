/**
Records which requests broke off at which upstreams.
*/
import type {Crash} from './crash.js';
import type {CrashCursor} from './crash-cursor.js';

/** Bounded in size; notes expire after ten minutes. */
export type CrashTracker = {
	/** Notes that the request broke off at the upstream while it ran; returns whether that is new. */
	readonly record: (fingerprint: string, upstream: string) => boolean;
	/** Adds crashes that another process reported. */
	readonly merge: (crashes: readonly Crash[]) => void;
	/** The next crashes to report on a link, and the cursor to pass the next time; without a cursor, from the first one on. */
	readonly listAfter: (cursor?: CrashCursor) => {readonly crashes: readonly Crash[]; readonly cursor: CrashCursor};
	/** The crashes because of which the request must be sent to no other upstream; `undefined` if it may be. */
	readonly findBlock: (fingerprint: string) => readonly Crash[] | undefined;
	readonly isEmpty: () => boolean;
};
