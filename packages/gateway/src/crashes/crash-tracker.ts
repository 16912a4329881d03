/**
Records which requests broke off at which upstreams.
*/
import type {Crash} from './crash.js';
import type {CrashCursor} from './crash-cursor.js';
import type {CrashReport} from './crash-report.js';

/** Bounded in size; notes expire after ten minutes. */
export type CrashTracker = {
	/** Notes that the request broke off at the upstream while it ran; returns whether that is new. */
	readonly record: (fingerprint: string, upstream: string) => boolean;
	/** Notes that an upstream answered the request whole, so that its crashes until now had another cause. */
	readonly recordAnswered: (fingerprint: string) => void;
	/** Adds what another process reported. */
	readonly merge: (report: CrashReport) => void;
	/** What to report next on a link, and the cursor to pass the next time; without a cursor, from the first note on. */
	readonly listAfter: (cursor?: CrashCursor) => CrashReport & {readonly cursor: CrashCursor};
	/** The crashes because of which the request must be sent to no other upstream; `undefined` if it may be. */
	readonly findBlock: (fingerprint: string) => readonly Crash[] | undefined;
	/** Whether the request broke off at any upstream lately. */
	readonly isNoted: (fingerprint: string) => boolean;
	readonly isEmpty: () => boolean;
};
