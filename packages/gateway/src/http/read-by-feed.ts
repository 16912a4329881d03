/**
Reads from callers' connections in place of Node, whose HTTP server parses up to 64 KiB
of a connection in one go: a request feed decides how much is parsed, and when.

Node offers buffers for reads only to sockets that it creates itself, so the fields that
its option `onread` sets are set here, by their names. If a version of Node has none of
these, its own reading stays.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {FeedPool} from './feed-pool.js';
import {createRequestFeed, type RequestFeed} from './create-request-feed.js';
import {requestFeeds} from './request-feeds.js';

const BUFFER_BYTES = 64 * 1024;
/** Filled and parsed in one go, so that one buffer serves all connections. */
const sharedBuffer = Buffer.allocUnsafeSlow(BUFFER_BYTES);

type Handle = {readonly useUserBuffer: (buffer: Uint8Array) => void};
type ReadFields = Record<symbol, unknown> & {readonly _handle?: Handle};

type OpenFields = {readonly buffer: symbol; readonly callback: symbol; readonly generate: symbol};

const findFields = (socket: Socket): OpenFields | undefined => {
	const find = (name: string): symbol | undefined => Object.getOwnPropertySymbols(socket).find(({description}) => description === name);
	const buffer = find('kBuffer');
	const callback = find('kBufferCb');
	const generate = find('kBufferGen');
	return buffer && callback && generate && {buffer, callback, generate};
};

const doNothing = (): void => {/* It is only there for a moment. */};

/** Makes Node's parser give the connection back, which it does as soon as somebody else reads. */
const takeFromParser = (socket: Socket): void => {
	socket.on('data', doNothing);
	socket.off('data', doNothing);
};

const attach = (socket: Socket, pool: FeedPool): RequestFeed | undefined => {
	const fields = findFields(socket);
	const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
	const target = socket as unknown as ReadFields;
	if (!fields || !parse || typeof target._handle?.useUserBuffer !== 'function') {
		return undefined;
	}

	const pause = socket.pause.bind(socket);
	const resume = socket.resume.bind(socket);
	const feed = createRequestFeed({
		pool,
		parse(bytes) {
			if (!socket.destroyed) {
				parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
			}
		},
		onReady: resume,
		close() {
			socket.destroy();
		},
	});
	const chooseBuffer = (): Uint8Array => sharedBuffer.subarray(0, Math.max(1, Math.min(BUFFER_BYTES, feed.readSize())));
	takeFromParser(socket);
	target[fields.buffer] = sharedBuffer;
	target[fields.generate] = chooseBuffer;
	target[fields.callback] = (byteCount: number, buffer: Uint8Array): boolean => {
		feed.receive(buffer.subarray(0, byteCount));
		return feed.mayRead();
	};

	target._handle.useUserBuffer(chooseBuffer());
	socket.pause = () => {
		feed.pause();
		return pause();
	};

	socket.resume = () => {
		feed.resume();
		if (feed.mayRead()) {
			resume();
		}

		return socket;
	};

	socket.once('close', feed.end);
	return feed;
};

const frame = (req: IncomingMessage) => {
	const isComplete = (): boolean => req.complete;
	if (req.headers['transfer-encoding'] !== undefined) {
		return {length: undefined, isComplete};
	}

	const length = Number(req.headers['content-length'] ?? 0);
	return length > 0 ? {length, isComplete} : undefined;
};

/** Call it before the server accepts the first connection, and before it has listeners for requests. */
export const readByFeed = (server: Server, pool: FeedPool): void => {
	server.on('connection', (socket: Socket) => {
		const feed = attach(socket, pool);
		if (feed) {
			requestFeeds.set(socket, feed);
		}
	});
	server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
		const endRequest = requestFeeds.get(req.socket)?.beginRequest(frame(req));
		if (endRequest) {
			res.once('close', endRequest);
		}
	});
};
