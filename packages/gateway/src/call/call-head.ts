/**
What a request says beside its body, decoded once where it arrives.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {PromptPart} from './prompt-part.js';

/** The program that a request belongs to. */
type ProgramHead = {
	readonly id: ProgramId;
	/** Milliseconds that the program has left until it should be finished, as of the request's arrival. */
	readonly finishInMs?: number;
	/** Tokens that all turns of the program may generate. */
	readonly tokenBudget?: number;
	/** The turn that this one goes on from. */
	readonly previousTurn?: RequestId;
};

/** The prompt of a model call. */
type PromptHead = {
	readonly promptTokens: number;
	/** Tokens that the call generates at most. */
	readonly maxTokens: number;
	/** In the order of the prompt; the last belongs to the request or its program alone. */
	readonly parts: readonly PromptPart[];
};

/** One attempt of a caller; each attempt has its own id. */
export type CallHead = {
	readonly id: RequestId;
	readonly method: string;
	/** Path and query, as the caller sent them. */
	readonly path: string;
	readonly host: string;
	/** Headers to pass on, names and values in turn. */
	readonly headers: readonly string[];
	/** Milliseconds that the caller waits, as of the arrival. */
	readonly deadlineMs?: number;
	/** Calls about the same object carry the same key. */
	readonly affinityKey?: string;
	/** The last event that the caller has of an earlier attempt. */
	readonly lastEventId?: string;
	readonly program?: ProgramHead;
	readonly prompt?: PromptHead;
};
