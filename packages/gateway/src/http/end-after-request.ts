/**
Ends a response without a body, whose request may not have been read whole.

A socket that is closed with unread bytes is reset, and the reset overtakes the
response. So a connection that is not kept stays open, while the rest of the
request is read and dropped, for a short time. On a connection that is kept the rest
has more time, since an honest caller goes on to use it.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {requestFeeds} from './request-feeds.js';

/** Bounds what one caller costs that goes on sending, or does not send what it has announced. */
const MAX_LINGER_MS = 1000;
/** The same on a connection that is kept. */
const MAX_REST_MS = 5000;
/** As much as the largest body, by the default limit. */
const MAX_REST_BYTES = 4 * 1024 * 1024;
const REST_CHECK_INTERVAL_MS = 200;

/** Closes the connection of a request whose rest is too long or does not end. */
const boundRest = (req: IncomingMessage): void => {
	const {socket} = req;
	const startedAt = performance.now();
	const bytesBefore = socket.bytesRead;
	const timer = setInterval(() => {
		if (performance.now() - startedAt > MAX_REST_MS || socket.bytesRead - bytesBefore > MAX_REST_BYTES) {
			clearInterval(timer);
			socket.destroy();
		}
	}, REST_CHECK_INTERVAL_MS).unref();
	const stop = (): void => {
		clearInterval(timer);
	};

	req.once('end', stop);
	req.once('close', stop);
};

/** Reads no more of a rest that is too long; the caller has had the time to read the answer when the connection is closed. */
const stopAfterRest = (req: IncomingMessage): void => {
	let bytes = 0;
	const count = (piece: Uint8Array): void => {
		bytes += piece.length;
		if (bytes > MAX_REST_BYTES) {
			req.off('data', count);
			req.pause();
		}
	};

	req.on('data', count);
};

/** The head of `res` must have been written with a length of zero, so that the response is whole once the head is sent, which is at once. */
export const endAfterRequest = (res: ServerResponse): void => {
	const {req} = res;
	if (req.complete || res.shouldKeepAlive) {
		if (!req.complete) {
			boundRest(req);
		}

		// Node reads the rest of a request on a connection that is kept.
		res.end();
		return;
	}

	const timer = setTimeout(() => {
		res.end();
	}, MAX_LINGER_MS);
	req.once('end', () => {
		res.end();
	});
	res.once('close', () => {
		clearTimeout(timer);
	});
	res.flushHeaders();
	const isDropped = requestFeeds.get(req.socket)?.dropBody(MAX_REST_BYTES, () => {
		res.end();
	});
	if (!isDropped) {
		stopAfterRest(req);
	}

	req.resume();
};
