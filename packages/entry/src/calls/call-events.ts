/**
The events that a caller receives while its call runs.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

type FinalEvent = {
	readonly requestId: string;
	readonly turn: number;
	/** UTF-8 bytes of the whole answer. */
	readonly bytes: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly finish: string;
	readonly digest: string;
};

/** Exactly one of `onFinal` and `onRefused` ends a call. */
export type CallEvents = {
	readonly onAccepted: (event: {readonly requestId: string; readonly turn: number}) => void;
	readonly onChunk: (event: {readonly offset: number; readonly text: string}) => void;
	/** The answer starts again at byte 0. The caller must discard the chunks that it has received, because they may belong to a run whose rest is lost. */
	readonly onRestart: () => void;
	readonly onFinal: (event: FinalEvent) => void;
	readonly onRefused: (refusal: Refusal) => void;
};
