/**
What this process knows of an upstream's load, for one call.
*/
import type {Upstream} from '../upstreams/upstream.js';

/** Own knowledge only; other processes send to the same upstream. */
export type UpstreamLoad = {
	readonly upstream: Upstream;
	/** Calls of this process that are under way there. */
	readonly running: number;
	/** Prompt tokens sent there that no answer has begun for. */
	readonly unreadTokens: number;
	/** Tokens of this call's prompt that the upstream is believed to hold. */
	readonly heldTokens: number;
	/** Milliseconds to add for what was seen of it lately: failures, slowness, a cold start. */
	readonly penaltyMs: number;
	readonly isNear: boolean;
};
