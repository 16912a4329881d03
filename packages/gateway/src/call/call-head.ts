/**
The head of a request: everything but its body, decoded once on arrival.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {KeyHash} from '../workspaces/key-hash.js';
import type {PromptPart} from './prompt-part.js';

/** The program that a request belongs to. */
type ProgramHead = {
	readonly id: ProgramId;
	/** Milliseconds from the request's arrival until the program should be finished. */
	readonly finishInMs?: number;
	/** Tokens that all turns of the program together may generate. */
	readonly tokenBudget?: number;
	/** The turn that this one continues. */
	readonly previousTurn?: RequestId;
};

/** The prompt of a model call. */
type PromptHead = {
	readonly promptTokens: number;
	/** Upper bound of the tokens that the call generates. */
	readonly maxTokens: number;
	/** In prompt order; the last part is not shared with other programs. */
	readonly parts: readonly PromptPart[];
};

/** One attempt of a caller; a caller's retry has another id. */
export type CallHead = {
	readonly id: RequestId;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly path: string;
	readonly host: string;
	/** Of the key that the caller sent; the key itself is kept nowhere. */
	readonly keyHash?: KeyHash;
	/** Headers that may name a key or a workspace, in the form of `headers`; a function, so that nothing that logs the head writes them. */
	readonly credentials?: () => readonly string[];
	/** Headers to forward, alternating names and values; without `credentials`. */
	readonly headers: readonly string[];
	/** Milliseconds that the caller waits, counted from the arrival. */
	readonly deadlineMs?: number;
	/** Calls about the same object carry the same key. */
	readonly affinityKey?: string;
	/** The last event that the caller received in an earlier attempt. */
	readonly lastEventId?: string;
	/** The earlier attempt that brought the first event of the stream that this one takes up. */
	readonly resumes?: RequestId;
	readonly program?: ProgramHead;
	readonly prompt?: PromptHead;
};
