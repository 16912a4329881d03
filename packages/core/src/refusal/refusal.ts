/**
The shape of every refusal that leaves the system.
*/
import type {RefusalCode} from './refusal-code.js';

/** A typed refusal, sent to callers as JSON. */
export type Refusal = {
	readonly code: RefusalCode;
	/** One English sentence that tells the caller what to do next. */
	readonly message: string;
	/** Milliseconds after which trying again may help; absent where it does not. */
	readonly retryAfterMs?: number;
};
