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
	/** Those of `list` that became known after the call that returned `cursor`, and the cursor to pass the next time; without one, all. */
	readonly listAfter: (cursor?: number) => {readonly crashes: readonly Crash[]; readonly cursor: number};
	/** The crashes because of which the request must be sent to no other upstream; `undefined` if it may be. */
	readonly findBlock: (fingerprint: string) => readonly Crash[] | undefined;
	readonly isEmpty: () => boolean;
};
