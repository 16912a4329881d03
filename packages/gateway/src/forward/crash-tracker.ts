/**
Records which requests broke off at which upstreams.
*/

import type {Crash} from './crash.js';

/** Bounded in size; entries expire after a minute. */
export type CrashTracker = {
	readonly record: (fingerprint: string, upstream: string) => void;
	/** Adds crashes that another process reported. */
	readonly merge: (crashes: readonly Crash[]) => void;
	/** The crashes to report to other processes, the latest first. */
	readonly list: () => readonly Crash[];
	/** Those of `list` that became known after `sequence`, and the sequence to pass the next time; 0 lists all. */
	readonly listAfter: (sequence: number) => {readonly crashes: readonly Crash[]; readonly sequence: number};
	/** Whether the request crashed so many upstreams that it must not be sent to another. */
	readonly isDangerous: (fingerprint: string) => boolean;
	readonly isEmpty: () => boolean;
};
