/**
Remembers the limits that upstreams named.
*/
import type {UpstreamLimit} from './upstream-limit.js';

/** An upstream is identified by `identifyStart`. Bounded in size. */
export type LimitBook = {
	/** Whether no upstream ever named a limit, as is usual; costs nothing to ask. */
	readonly isEmpty: () => boolean;
	/** Requests a second that the upstream takes; `undefined` if it names no limit as far as this process knows. */
	readonly get: (upstream: string) => number | undefined;
	/** Records what an answer of the upstream said: its limit, or `undefined` if it named none. `sentAt`: when the request was sent, on the clock of the book. */
	readonly record: (upstream: string, perSecond: number | undefined, sentAt: number) => void;
	/** Adds what another process knows; older statements are ignored. */
	readonly merge: (limits: readonly UpstreamLimit[]) => void;
	/** What is known of the upstream; `undefined` if it never named a limit. */
	readonly describe: (upstream: string) => UpstreamLimit | undefined;
	/** Some of the statements that became known after `sequence`, the earliest first, and the sequence to pass the next time; 0 begins with all. */
	readonly listAfter: (sequence: number) => {readonly limits: readonly UpstreamLimit[]; readonly sequence: number};
	/** Drops a removed upstream. */
	readonly forget: (upstream: string) => void;
	/** The limits that are in force. */
	readonly listLimits: () => ReadonlyArray<{readonly upstream: string; readonly perSecond: number}>;
};
