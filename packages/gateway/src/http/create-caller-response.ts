/**
Implements `CallerResponse` on a response of Node's HTTP server.
*/
import type {ServerResponse} from 'node:http';
import type {CallerResponse} from '../forward/caller-response.js';
import {endAfterRequest} from './end-after-request.js';

/** `res` answers a request of HTTP/1.1, since chunks need it. `encodeRefusal` returns the headers of a refusal, which comes from the system itself and not from an upstream. */
export const createCallerResponse = (res: ServerResponse, encodeRefusal: (retryAfterMs: number | undefined) => Record<string, string>): CallerResponse => {
	let isOver = false;
	let isDisconnected = false;
	const disconnectListeners: Array<() => void> = [];
	res.on('close', () => {
		if (isOver) {
			return;
		}

		isOver = true;
		isDisconnected = true;
		for (const listener of disconnectListeners) {
			listener();
		}
	});

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
		},
		start(status, headers) {
			if (!isOver) {
				res.writeHead(status, headers);
			}
		},
		write: bytes => isOver || res.write(bytes),
		onDrain(listener) {
			res.once('drain', listener);
		},
		finish(bytes) {
			if (!isOver) {
				isOver = true;
				res.end(bytes);
			}
		},
		abort: breakOff,
	};
};
