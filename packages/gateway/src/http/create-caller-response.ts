/**
Implements `CallerResponse` on a response of Node's HTTP server.

After `sendAfterMessages`, what is written goes to the caller's connection at the end
of the event loop's turn: links send their messages at the same point, in the order
in which both were queued (`createOutboundQueue` of the peer package). So a caller has
no event of a kept turn that the holders were not sent before, even if this process is
killed right then, and the messages of all calls of one turn of the loop still share
their frames.
*/
import type {ServerResponse} from 'node:http';
import type {CallerResponse} from '../forward/caller-response.js';
import type {AnswerHolding} from '../forward/answer-memory.js';
import {endAfterRequest} from './end-after-request.js';

type ResponseOptions = {
	/** Returns the headers of a refusal, which comes from the system itself and not from an upstream. */
	readonly encodeRefusal: (retryAfterMs: number | undefined) => Record<string, string>;
	/** Called once a refusal is sent, though its connection may stay open for the rest of the request. */
	readonly onRefused?: () => void;
	/** Counts what the caller has not taken yet, until the response is over. */
	readonly holding?: AnswerHolding | undefined;
};

/** `res` answers a request of HTTP/1.1, since chunks need it. */
export const createCallerResponse = (res: ServerResponse, {encodeRefusal, onRefused, holding}: ResponseOptions): CallerResponse => {
	let isOver = false;
	let isDisconnected = false;
	let isHeld = false;
	let isBehindMessages = false;
	const disconnectListeners: Array<() => void> = [];
	res.on('close', () => {
		holding?.release();
		if (isOver) {
			return;
		}

		isOver = true;
		isDisconnected = true;
		for (const listener of disconnectListeners) {
			listener();
		}
	});

	const release = (): void => {
		isHeld = false;
		// The end of a response has released everything, and the connection may serve another response by now.
		if (!isOver) {
			res.uncork();
		}
	};

	const hold = (): void => {
		if (!isHeld) {
			isHeld = true;
			res.cork();
			setImmediate(release);
		}
	};

	const countWaiting = (): void => {
		holding?.hold(res.writableLength);
	};

	const breakOff = (): void => {
		isOver = true;
		res.destroy();
	};

	return {
		isStarted: () => res.headersSent,
		isDisconnected: () => isDisconnected,
		onDisconnect(listener) {
			if (isDisconnected) {
				listener();
			} else {
				disconnectListeners.push(listener);
			}
		},
		refuse(status, retryAfterMs) {
			if (isOver) {
				return;
			}

			if (res.headersSent) {
				breakOff();
				return;
			}

			isOver = true;
			res.writeHead(status, {...encodeRefusal(retryAfterMs), 'content-length': 0});
			endAfterRequest(res);
			onRefused?.();
		},
		start(status, headers) {
			if (!isOver) {
				res.writeHead(status, headers);
			}
		},
		sendAfterMessages() {
			isBehindMessages = true;
		},
		write(bytes) {
			if (isOver) {
				return true;
			}

			if (isBehindMessages) {
				hold();
			}

			const isTaken = res.write(bytes);
			countWaiting();
			return isTaken;
		},
		onDrain(listener) {
			res.once('drain', () => {
				countWaiting();
				listener();
			});
		},
		finish(bytes) {
			if (!isOver) {
				isOver = true;
				res.end(bytes);
				countWaiting();
			}
		},
		abort: breakOff,
	};
};
