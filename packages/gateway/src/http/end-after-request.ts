/**
Ends a response without a body, whose request may not have been read whole.

A socket that is closed with unread bytes is reset, and the reset overtakes the
response. So a connection that is not kept stays open, while the rest of the
request is read and dropped, for a short time.
*/
import type {ServerResponse} from 'node:http';

/** Bounds what one caller costs that goes on sending, or does not send what it has announced. */
const MAX_LINGER_MS = 1000;

/** The head of `res` must have been written with a length of zero, so that the response is whole once the head is sent, which is at once. */
export const endAfterRequest = (res: ServerResponse): void => {
	const {req} = res;
	if (req.complete || res.shouldKeepAlive) {
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
	req.resume();
};
