/**
Serves one short text over HTTP, such as the readiness or the metrics.

Load pattern: strangers send to these addresses too. What is asked here has a small head
and no body, so both are bounded far below those of callers, and connections are few:
the one that has been idle longest makes room, so that the platform's own request still
gets in.
*/
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {listenWhenFree} from '@siskinhub/peer/listen-when-free.js';
import {boundConnections} from '../http/bound-connections.js';
import {createByteBudget} from '../http/create-byte-budget.js';
import {createFeedPool} from '../http/create-feed-pool.js';
import {readByFeed} from '../http/read-by-feed.js';
import {trackConnections} from '../http/track-connections.js';

type TextAnswer = {readonly status: number; readonly text: string};

const STATUS_FAILED = 500;
const HEADERS_TIMEOUT_MS = 3000;
/** For a whole request; what is asked here has no body. */
const REQUEST_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
/** A connection on which nothing is read or written for so long is closed, such as that of a reader that does not take its answer. */
const IDLE_TIMEOUT_MS = 10_000;

const MAX_HEAD_BYTES = 8 * 1024;
/** Of all connections, for heads that have not come whole. */
const MAX_PENDING_BYTES = 512 * 1024;
const MAX_CONNECTIONS = 64;
const MAX_BODY_BYTES = 64 * 1024;

/** Nobody needs a body; the connection of a caller that goes on with one is closed. */
const dropBody = (req: IncomingMessage): void => {
	let bytes = 0;
	req.on('data', (piece: Uint8Array) => {
		bytes += piece.length;
		if (bytes > MAX_BODY_BYTES) {
			req.socket.destroy();
		}
	});
};

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
		headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, maxHeaderSize: MAX_HEAD_BYTES,
	}, async (req, res) => {
		dropBody(req);
		const {status, text} = await answerSafely();
		res.writeHead(status, {'content-type': 'text/plain', 'content-length': new TextEncoder().encode(text).length});
		res.end(text);
	});
	server.setTimeout(IDLE_TIMEOUT_MS);
	readByFeed(server, createFeedPool(createByteBudget(MAX_PENDING_BYTES), MAX_HEAD_BYTES));
	boundConnections(server, {connections: trackConnections(server), maxConnections: MAX_CONNECTIONS, onClosed() {/* The metrics may be what is asked. */}});
	await listenWhenFree(server, address);
	return server;
};
