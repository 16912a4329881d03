/**
Forwards a plain response to the caller. It is kept whole before anything is passed on,
so that the request can be retried if it breaks off, unless it is too large for that.
*/
import type {AnswerHolding, AnswerShare} from './answer-memory.js';
import type {CallerResponse} from './caller-response.js';
import {createByteBlocks} from './create-byte-blocks.js';

type PlainOptions = {
	readonly response: Pick<CallerResponse, 'isStarted' | 'write' | 'finish'>;
	readonly holding: AnswerHolding;
	/** Sends the head of the response unless it has been sent. */
	readonly startResponse: () => void;
	readonly write: (bytes: Uint8Array) => void;
	/** Called once if the response is too large to be kept whole. */
	readonly onPassedOnEarly: () => void;
};

/** A larger response is forwarded in pieces, and its request can no longer be retried. */
const PLAIN_SHARE: AnswerShare = {limitBytes: 1024 * 1024, partOfFree: 1 / 8};
/** Each write costs several objects until the caller takes it, so smaller pieces are gathered. */
const MIN_WRITE_BYTES = 4096;

export const createPlainForwarder = ({response, holding, startResponse, write, onPassedOnEarly}: PlainOptions) => {
	const kept = createByteBlocks();
	let flushing: NodeJS.Immediate | undefined;

	const flush = (): void => {
		clearImmediate(flushing);
		flushing = undefined;
		for (const block of kept.take()) {
			write(block);
		}

		holding.hold(0);
	};

	const writeGathered = (chunk: Uint8Array): void => {
		if (chunk.length >= MIN_WRITE_BYTES && kept.size() === 0) {
			write(chunk);
			return;
		}

		kept.append(chunk);
		holding.hold(kept.capacity());
		if (kept.size() >= MIN_WRITE_BYTES) {
			flush();
		} else {
			flushing ??= setImmediate(flush);
		}
	};

	return {
		receive(chunk: Uint8Array): void {
			if (response.isStarted()) {
				writeGathered(chunk);
				return;
			}

			kept.append(chunk);
			if (!holding.tryHold(kept.capacity(), PLAIN_SHARE)) {
				onPassedOnEarly();
				startResponse();
				flush();
			}
		},
		/** Sends what is left and ends the response. May be called after the attempt has ended. */
		finish(): void {
			clearImmediate(flushing);
			startResponse();
			const blocks = kept.take();
			for (const block of blocks.slice(0, -1)) {
				response.write(block);
			}

			response.finish(blocks.at(-1));
		},
		/** Nothing more is received; what is kept may still be sent by `finish`. */
		stop(): void {
			clearImmediate(flushing);
			flushing = undefined;
		},
	};
};
