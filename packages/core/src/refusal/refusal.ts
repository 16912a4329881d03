/**
The structure of all refusals that callers receive.
*/
import type {RefusalCode} from './refusal-code.js';

/** A refusal with a code, sent to callers as JSON. */
export type Refusal = {
	readonly code: RefusalCode;
	/** One English sentence that tells the caller what to do next. */
	readonly message: string;
	/** Milliseconds after which a retry may succeed; absent if it cannot. */
	readonly retryAfterMs?: number;
};
