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

export const createPlainForwarder = ({response, holding, startResponse, write, onPassedOnEarly}: PlainOptions) => {
	const kept = createByteBlocks();
	return {
		receive(chunk: Uint8Array): void {
			if (response.isStarted()) {
				write(chunk);
				return;
			}

			kept.append(chunk);
			if (!holding.tryHold(kept.capacity(), PLAIN_SHARE)) {
				onPassedOnEarly();
				startResponse();
				for (const block of kept.take()) {
					write(block);
				}

				holding.hold(0);
			}
		},
		/** Sends what is kept and ends the response. May be called after the attempt has ended. */
		finish(): void {
			startResponse();
			const blocks = kept.take();
			for (const block of blocks.slice(0, -1)) {
				response.write(block);
			}

			response.finish(blocks.at(-1));
		},
		/** Keeps nothing from now on; `finish` must not be called any more. */
		drop(): void {
			kept.take();
		},
	};
};
