/**
The HTTP server for callers. It reads each request with its whole body, up to the
declared limit, and passes it to `onCall`.
*/
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as PortServer} from 'node:net';
import {listenWhenFree} from '@siskinhub/peer/listen-when-free.js';
import {waitUnlessStopped} from '../forward/wait-unless-stopped.js';
import {applyHttpLimits} from './apply-http-limits.js';
import {boundConnections} from './bound-connections.js';
import {createByteBudget} from './create-byte-budget.js';
import {createFeedPool} from './create-feed-pool.js';
import {createCallerResponse} from './create-caller-response.js';
import {countHeadBytes} from './count-head-bytes.js';
import type {GatewayServer} from './gateway-server.js';
import type {GatewayServerOptions} from './gateway-server-options.js';
import {readByFeed} from './read-by-feed.js';
import {readBody} from './read-body.js';
import {runAfterReading} from './run-after-reading.js';
import {trackConnections} from './track-connections.js';
import type {UnreadReason} from './unread-reason.js';

/** Higher than any limit that is declared; the declared one is checked for each request. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Bounds what trailers cost. A head of 16 KiB has fewer fields, since each takes 4 bytes or more. */
const MAX_FIELDS = 4096;
const STATUS_HEAD_TOO_LARGE = 431;
const STATUS_BAD_GATEWAY = 502;
const STATUS_VERSION_NOT_SUPPORTED = 505;
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** What a request costs beside the bytes of its head and body: its objects in Node and here, by measurement. */
const REQUEST_BYTES = 8 * 1024;
/** What a field of a head costs as objects, however short it is. */
const FIELD_BYTES = 160;
/** What unfinished heads and requests sent ahead may hold beside, so that bodies cannot take the room of heads. */
const HEADS_SHARE = 0.25;
const DEFAULT_MAX_CONNECTIONS = 3000;
const DEFAULT_MAX_HELD_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_BODY_MS = 15_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
type AddressOptions = Pick<GatewayServerOptions, 'ip' | 'port' | 'waitMs' | 'log' | 'earlyListener'>;

const listen = async (server: Server, {earlyListener, ...address}: AddressOptions): Promise<void> => {
	if (earlyListener) {
		const listening = once(server, 'listening');
		server.listen(earlyListener.server);
		await listening;
	} else {
		await listenWhenFree(server, address);
	}

	earlyListener?.onConnection(socket => {
		server.emit('connection', socket);
		socket.resume();
	});
};

/** Whether the caller's version of HTTP has chunks; without them only the end of the connection would end a response without length. */
const hasChunks = ({httpVersionMajor, httpVersionMinor}: IncomingMessage): boolean => httpVersionMajor === 1 && httpVersionMinor >= 1;

/** Why the head is too large, if it is. */
const findHeadFault = ({rawHeaders}: IncomingMessage, headBytes: number, maxBytes = MAX_HEADER_BYTES): string | undefined => {
	if (headBytes > maxBytes) {
		return 'the head of the request exceeds the limit maxHeaderBytes';
	}

	return rawHeaders.length / 2 >= MAX_FIELDS ? `the head of the request has ${MAX_FIELDS} fields or more` : undefined;
};

/** The request may have run, so the caller is promised nothing. */
const endAfterFailure = (res: ServerResponse): void => {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	res.writeHead(STATUS_BAD_GATEWAY, {connection: 'close', 'content-length': 0});
	res.end();
};

/** Resolves once the server listens; rejects only if the address is in use for longer than `waitMs` or cannot be bound. */
export const createGatewayServer = async ({
	codec, activeCalls, memory, limits, shouldKeepConnections, onArrival, refuseCaller = () => false, isAdmitted, onRefused, onLate, onUnread, maxBodyMs = () => DEFAULT_MAX_BODY_MS, maxHeldBytes = DEFAULT_MAX_HELD_BYTES, maxConnections = DEFAULT_MAX_CONNECTIONS, onCall, onFailed, onRejected, ...address
}: GatewayServerOptions): Promise<GatewayServer> => {
	let activeCount = 0;
	let isDraining = false;
	let hasStopped = false;
	const budget = createByteBudget(maxHeldBytes);

	const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const arrivedAt = Date.now() - onArrival();
		applyHttpLimits(server, limits());
		if (isDraining || !shouldKeepConnections()) {
			res.shouldKeepAlive = false;
		}

		const call = codec.decodeCall(req);
		if (call.isErr()) {
			onRejected(call.error, 400);
			createCallerResponse(res, {encodeRefusal: retryAfterMs => codec.encodeRefusal(undefined, retryAfterMs)}).refuse(400);
			return;
		}

		const active = activeCalls.begin(call.value, {isStarted: () => res.headersSent}, arrivedAt);
		const endActive = (): void => {
			activeCalls.end(active);
		};

		res.on('close', endActive);
		const response = createCallerResponse(res, {encodeRefusal: retryAfterMs => codec.encodeRefusal(call.value, retryAfterMs), onRefused: endActive, holding: memory?.open()});
		if (refuseCaller(call.value, response)) {
			return;
		}

		const headBytes = countHeadBytes(req);
		const held = budget.open(REQUEST_BYTES + headBytes + (req.rawHeaders.length / 2 * FIELD_BYTES));
		// Until the end of its response, since the body may be sent to another upstream or be kept.
		res.on('close', () => held?.release());
		const refuseUnread = (reason: UnreadReason): void => {
			res.shouldKeepAlive = false;
			// What was read is dropped, though the connection stays open for the rest.
			held?.release();
			onUnread(call.value, response, {reason, durationMs: Date.now() - arrivedAt});
		};

		if (!hasChunks(req)) {
			onRejected('the request is not of HTTP/1.1, and an older version cannot mark the end of a response', STATUS_VERSION_NOT_SUPPORTED);
			response.refuse(STATUS_VERSION_NOT_SUPPORTED);
			return;
		}

		const headFault = findHeadFault(req, headBytes, limits()?.maxHeaderBytes);
		if (headFault) {
			res.shouldKeepAlive = false;
			onRejected(headFault, STATUS_HEAD_TOO_LARGE);
			response.refuse(STATUS_HEAD_TOO_LARGE);
			return;
		}

		if (!held) {
			refuseUnread('no-room');
			return;
		}

		if (!isAdmitted(call.value)) {
			onRefused(call.value, response);
			return;
		}

		const body = await waitUnlessStopped(active, readBody(req, {
			maxBytes: limits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES, maxMs: arrivedAt + maxBodyMs(call.value) - Date.now(), held,
		}));
		if (!body || (body.kind === 'whole' && hasStopped)) {
			// The connection may have been kept for later, or the request may have begun before.
			res.shouldKeepAlive = false;
			onLate(call.value, response);
			return;
		}

		if (body.kind === 'whole') {
			await onCall(call.value, body.bytes, response, active);
			return;
		}

		if (body.kind === 'too-large') {
			res.shouldKeepAlive = false;
			held.release();
			onRejected(body.reason, 413);
			response.refuse(413);
			return;
		}

		if (body.kind !== 'broken-off') {
			refuseUnread(body.kind);
		}
	};

	const server = createServer({
		maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: 0, noDelay: true,
	}, async (req, res) => {
		if (connections.isClosed(req.socket)) {
			req.resume();
			return;
		}

		activeCount++;
		res.on('close', () => {
			activeCount--;
		});
		try {
			await handle(req, res);
		} catch (error) {
			onFailed(error instanceof Error ? error.message : String(error));
			endAfterFailure(res);
		}
	});
	// Node leaves out the fields past this number in silence, so a head that reaches it is refused. Unless it is set, the number is 2000.
	server.maxHeadersCount = MAX_FIELDS;
	const pool = createFeedPool(createByteBudget(maxHeldBytes * HEADS_SHARE), MAX_HEADER_BYTES);
	readByFeed(server, pool);
	const connections = trackConnections(server);
	let tooMany = 0;
	boundConnections(server, {
		connections, maxConnections, onClosed() {
			tooMany++;
		},
	});
	applyHttpLimits(server, undefined);
	await listen(server, address);

	return {
		countActive: () => activeCount,
		drain() {
			isDraining = true;
		},
		stopListening() {
			hasStopped = true;
			runAfterReading(() => {
				// The method of the HTTP server would also destroy connections whose last answer has not been written out.
				PortServer.prototype.close.call(server);
				connections.closeIdle();
			}, connections.countAccepted);
		},
		closeSilent: connections.closeSilent,
		countAccepted: connections.countAccepted,
		countConnections: connections.countOpen,
		countClosed: () => ({...pool.closed, 'too-many': tooMany}),
		heldBytes: budget.heldBytes,
		unparsedBytes: pool.budget.heldBytes,
	};
};
