/**
What the process that places a call knows about one upstream.
*/
import type {UpstreamId} from '../ids/upstream-id.js';

/** An upstream as last reported; every figure may be out of date by the age of the report. */
export type UpstreamView = {
	readonly id: UpstreamId;
	/** `suspect`: it crashed or answered badly of late; `silent`: its heartbeats stopped. */
	readonly state: 'live' | 'suspect' | 'leaving' | 'silent';
	/** Calls that it runs at the same time. */
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	/** Those of `queued` that start a program. */
	readonly queuedStarts: number;
	/** Engine memory, and what running calls and kept prefixes take of it; 0 for plain services. */
	readonly memoryTokens: number;
	readonly usedTokens: number;
	/** Time of the report by the clock of the process that decides, in milliseconds. */
	readonly reportedAt: number;
	/** Calls that the deciding process placed there since the report. */
	readonly sentSinceReport: number;
	/** Calls that the deciding process placed there and that have not ended. */
	readonly outstanding: number;
	/** Recent mean time of a call in its slot, in milliseconds. */
	readonly callMs: number;
	/** Recent mean time between output tokens, in milliseconds; 0 for plain services. */
	readonly tokenMs: number;
	/** Rate at which it computes a missing prefix; 0 for plain services. */
	readonly prefillTokensPerMs: number;
	/** Rate at which it imports a prefix from another engine; 0 where it cannot. */
	readonly importTokensPerMs: number;
	/** Tokens of this call's prefix that it is believed to hold. */
	readonly heldTokens: number;
};
