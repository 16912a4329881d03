/**
Serves one short text over HTTP, such as the readiness or the metrics.
*/
import {createServer, type Server} from 'node:http';
import {listenWhenFree} from '@siskinhub/peer/listen-when-free.js';

type TextAnswer = {readonly status: number; readonly text: string};

const STATUS_FAILED = 500;
const HEADERS_TIMEOUT_MS = 3000;
/** For a whole request; what is asked here has no body. */
const REQUEST_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
/** A connection on which nothing is read or written for so long is closed, such as that of a reader that does not take its answer. */
const IDLE_TIMEOUT_MS = 10_000;

type TextServerOptions = Parameters<typeof listenWhenFree>[1];

/** Calls `answer` for every request, whatever its path and method; if that fails, the request is answered with 500 and the reason is logged. Resolves once the server listens; rejects if the address is in use for longer than `waitMs` or cannot be bound. */
export const serveText = async (address: TextServerOptions, answer: () => TextAnswer | Promise<TextAnswer>): Promise<Server> => {
	const answerSafely = async (): Promise<TextAnswer> => {
		try {
			return await answer();
		} catch (error) {
			address.log?.warn('failed to answer a request for a text', {port: address.port, reason: error instanceof Error ? error.message : String(error)});
			return {status: STATUS_FAILED, text: ''};
		}
	};

	const server = createServer({
		headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
	}, async (req, res) => {
		req.resume();
		const {status, text} = await answerSafely();
		res.writeHead(status, {'content-type': 'text/plain', 'content-length': new TextEncoder().encode(text).length});
		res.end(text);
	});
	server.setTimeout(IDLE_TIMEOUT_MS);
	await listenWhenFree(server, address);
	return server;
};
