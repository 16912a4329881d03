/**
One operation of a client, from its invocation to its outcome.
*/
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';

/** How an operation ended. `cut`: no definite answer was received, for example because the connection was lost. */
type OperationOutcome =
	| {readonly kind: 'done'; readonly value?: unknown}
	| {
		readonly kind: 'final';
		readonly text: string;
		/** Length of the answer in bytes, as stated by the final event. */
		readonly bytes: number;
		readonly digest: string;
		/** `budget` or `length`: the answer was cut where it would have passed a limit. */
		readonly finish: string;
		readonly promptTokens: number;
		readonly outputTokens: number;
		/** Describes the first chunk that did not continue where the previous one ended. */
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
	/** Limit of the answer's length that the caller asked for. */
	readonly maxOutputTokens?: number;
	readonly invokedAt: number;
	/** When the entry reported that it accepted the call. */
	acceptedAt?: number;
	completedAt?: number;
	outcome?: OperationOutcome;
	/** Further data about the request, where a checker or the timeline needs it. */
	readonly detail?: unknown;
};
