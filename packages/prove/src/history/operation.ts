/**
One thing that a client did, from its invocation to its outcome.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';

/** How an operation ended. `cut`: no definite answer came, as after a lost connection. */
type OperationOutcome =
	| {readonly kind: 'done'; readonly value?: unknown}
	| {
		readonly kind: 'final';
		readonly text: string;
		/** Length that the final event stated, in bytes. */
		readonly bytes: number;
		readonly digest: string;
		/** `budget` or `length`: the answer was cut where it would have passed a limit. */
		readonly finish: string;
		readonly promptTokens: number;
		readonly outputTokens: number;
		/** The first chunk that did not follow the one before, if any. */
		readonly gap?: string;
	}
	| {readonly kind: 'refused'; readonly code: RefusalCode; readonly message: string}
	| {readonly kind: 'cut'; readonly message: string};

/** `call` and `attach` name a logical request by its mark, which equals its request id; times are milliseconds since the Unix epoch. */
export type Operation = {
	readonly id: number;
	readonly kind: 'start' | 'call' | 'attach' | 'end' | 'history' | 'edit' | 'table' | 'drain';
	/** Name of the process that was asked. */
	readonly via: string;
	readonly program?: string;
	readonly mark?: string;
	readonly turn?: number;
	readonly isIdempotent?: boolean;
	/** Longest answer that the caller asked for. */
	readonly maxOutputTokens?: number;
	readonly invokedAt: number;
	/** When the entry said that the call was accepted. */
	acceptedAt?: number;
	completedAt?: number;
	outcome?: OperationOutcome;
	/** What the operation asked for, where a checker needs it. */
	readonly detail?: unknown;
};
