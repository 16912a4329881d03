/**
Load pattern: callers send bodies of some MB and read the answer only then; the
request is refused before its body has been read.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok} from 'neverthrow';
import {afterEach, expect, it} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createActiveCalls} from '../../forward/create-active-calls.js';
import {createGatewayServer} from '../create-gateway-server.js';

const IP = '127.0.0.1';
const BODY_BYTES = 8 * 1024 * 1024;
const MAX_BODY_BYTES = 1024;
const REFUSING_MS = 100;
const MAX_LINGER_MS = 3000;

const sockets: Socket[] = [];
afterEach(() => {
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}
});

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => url === '/malformed'
		? err('malformed')
		: ok({
			id: 'r1' as never, method: method!, path: url!, host: 'h', headers: [], deadlineMs: undefined, affinityKey: undefined, lastEventId: undefined,
		}),
	encodeRefusal: () => ({}),
};

const findPort = async (): Promise<number> => {
	const server = createServer().listen(0, IP);
	await once(server, 'listening');
	const address = server.address();
	server.close();
	return typeof address === 'object' ? address!.port : 0;
};

const serve = async () => {
	const port = await findPort();
	const server = await createGatewayServer({
		ip: IP,
		port,
		codec: codec as CallCodec,
		activeCalls: createActiveCalls(),
		limits: () => ({
			maxBodyBytes: MAX_BODY_BYTES, maxHeaderBytes: 1024, idleTimeoutMs: 15_000, headerTimeoutMs: 3000,
		}),
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: ({path}) => path !== '/overload',
		onRefused(_call, response) {
			response.refuse(429, 100);
		},
		onLate() {/* Nothing is late. */},
		onUnread() {/* There is room, and time. */},
		async onCall() {/* Nothing is passed on. */},
		onFailed() {/* Nothing fails. */},
		onRejected() {/* The answers tell. */},
	});
	return {port, server};
};

const open = async (port: number): Promise<Socket> => {
	const socket = connect({port, host: IP, noDelay: true});
	sockets.push(socket);
	await once(socket, 'connect');
	return socket;
};

// Guards against cut callers, also at a planned stop: what was unread of the body turned the close into a reset, which overtook the refusal.
it.each([
	['a body that is too large', '/large', 413, false],
	['a head that is too large', `/${'x'.repeat(2048)}`, 431, false],
	['a malformed request', '/malformed', 400, true],
	['a request that is not admitted', '/overload', 429, true],
])('delivers the refusal of %s', async (_name, path, status, isDraining) => {
	const {port, server} = await serve();
	if (isDraining) {
		server.drain();
	}

	const socket = await open(port);
	socket.pause();
	socket.write(`POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
	await delay(REFUSING_MS);
	socket.write(new Uint8Array(BODY_BYTES));
	await once(socket, 'drain');
	const answer = String(Buffer.concat(await socket.toArray() as Uint8Array[]));
	expect(answer).toMatch(new RegExp(`^HTTP/1\\.1 ${status} .*connection: close`, 'isv'));
	await expect.poll(server.countActive).toBe(0);
	server.stopListening();
});

it('does not wait for ever for a body that its caller does not send', async () => {
	const {port, server} = await serve();
	const socket = await open(port);
	socket.write(`POST /${'x'.repeat(2048)} HTTP/1.1\r\nhost: h\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
	const startedAt = performance.now();
	expect(String(Buffer.concat(await socket.toArray() as Uint8Array[]))).toMatch(/^HTTP\/1\.1 431 /v);
	expect(performance.now() - startedAt).toBeLessThan(MAX_LINGER_MS);
	expect(server.countActive()).toBe(0);
	server.stopListening();
});
