/**
The state of one upstream as the process that places calls knows it.
*/
import type {UpstreamId} from '../ids/upstream-id.js';

/** An upstream as last reported; reported figures are as old as the report. */
export type UpstreamView = {
	readonly id: UpstreamId;
	/** `suspect`: it recently crashed or returned bad answers; `leaving`: it takes no new calls; `silent`: its heartbeats stopped. */
	readonly state: 'live' | 'suspect' | 'leaving' | 'silent';
	/** Calls that it runs concurrently. */
	readonly slots: number;
	readonly running: number;
	readonly queued: number;
	/** Those of `queued` that start a program. */
	readonly queuedStarts: number;
	/** Engine memory in tokens; 0 for plain services. */
	readonly memoryTokens: number;
	/** Memory that running calls and kept prefixes use, in tokens; 0 for plain services. */
	readonly usedTokens: number;
	/** Time of the report on the clock of the deciding process, in milliseconds. */
	readonly reportedAt: number;
	/** Calls that the deciding process has placed on it since the report. */
	readonly sentSinceReport: number;
	/** Calls that the deciding process has placed on it and that have not ended. */
	readonly outstanding: number;
	/** Recent mean time that a call occupies its slot, in milliseconds. */
	readonly callMs: number;
	/** Recent mean time between output tokens, in milliseconds; 0 for plain services. */
	readonly tokenMs: number;
	/** Rate at which it computes a missing prefix, in tokens per millisecond; 0 for plain services. */
	readonly prefillTokensPerMs: number;
	/** Rate at which it imports a prefix from another engine, in tokens per millisecond; 0 if it cannot. */
	readonly importTokensPerMs: number;
	/** Tokens of the call's prefix that it probably holds. */
	readonly heldTokens: number;
};
