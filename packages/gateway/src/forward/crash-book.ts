/**
What is known of requests that broke off at upstreams.
*/

import type {Crash} from './crash.js';

/** Bounded; entries are forgotten after a minute. */
export type CrashBook = {
	readonly record: (fingerprint: string, upstream: string) => void;
	/** Takes over what another process saw. */
	readonly merge: (crashes: readonly Crash[]) => void;
	/** What others are to be told of, the latest first. */
	readonly list: () => readonly Crash[];
	/** Whether it is to be sent to no upstream any more. */
	readonly isDangerous: (fingerprint: string) => boolean;
	readonly isEmpty: () => boolean;
};
