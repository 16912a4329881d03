/**
Load pattern: callers reconnect as soon as a process restarts, while it is still
loading.
*/
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {
	afterEach, expect, it,
} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createActiveCalls} from '../../forward/create-active-calls.js';
import {createGatewayServer} from '../create-gateway-server.js';
import {listenEarly} from '../listen-early.js';

const IP = '127.0.0.1';
const LOADING_MS = 50;
const WAIT_MS = 5000;

const closers: Array<() => void> = [];
afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

const findPort = async (): Promise<number> => {
	const server = createServer().listen(0, IP);
	await once(server, 'listening');
	const address = server.address();
	server.close();
	return typeof address === 'object' ? address!.port : 0;
};

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => ok({
		id: 'r1' as never, method: method!, path: url!, host: 'h', headers: [], deadlineMs: undefined, affinityKey: undefined, lastEventId: undefined,
	}),
	encodeRefusal: () => ({}),
};

const serve = async (port: number, earlyListener: Awaited<ReturnType<typeof listenEarly>>, waitMs = 0) => {
	const server = await createGatewayServer({
		ip: IP,
		port,
		waitMs,
		earlyListener,
		codec: codec as CallCodec,
		activeCalls: createActiveCalls(),
		limits: () => undefined,
		shouldKeepConnections: () => true, onArrival: () => 0, isAdmitted: () => true, onRefused() {/* Nothing is refused. */}, onLate() {/* Nothing is late. */}, onUnread() {/* There is room, and time. */},
		async onCall({path}, body, response) {
			response.start(200, ['x-path', path, 'content-length', String(body.length)]);
			response.finish(body);
		},
		onFailed() {/* Nothing fails. */},
		onRejected() {/* Every request here is well formed. */},
	});
	closers.push(server.stopListening);
	return server;
};

const send = (socket: Socket, path: string, body: string): void => {
	socket.write(`POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
};

const dial = async (port: number): Promise<{readonly socket: Socket; readonly received: () => string}> => {
	const socket = connect(port, IP);
	closers.push(() => {
		socket.destroy();
	});
	let text = '';
	socket.setEncoding('utf8').on('data', chunk => {
		text += String(chunk);
	});
	await once(socket, 'connect');
	return {socket, received: () => text};
};

it('answers requests that were sent before the server existed, and keeps their connections', async () => {
	const port = await findPort();
	const earlyListener = await listenEarly({ip: IP, port});
	const first = await dial(port);
	send(first.socket, '/one', 'early');
	const half = await dial(port);
	half.socket.write('POST /half HTTP/1.1\r\nHost: h\r\nContent-Le');
	await delay(LOADING_MS);
	expect(first.received()).toBe('');
	await serve(port, earlyListener);
	half.socket.write('ngth: 4\r\n\r\nrest');
	await expect.poll(first.received).toMatch(/^HTTP\/1\.1 200 OK\r\nx-path: \/one\r\n.*early$/sv);
	await expect.poll(half.received).toMatch(/\/half.*rest$/sv);
	send(first.socket, '/two', 'again');
	await expect.poll(first.received).toMatch(/\/two.*again$/sv);
	const late = await dial(port);
	send(late.socket, '/three', 'late');
	await expect.poll(late.received).toMatch(/\/three.*late$/sv);
});

it('closes the port and idle connections when the server stops listening', async () => {
	const port = await findPort();
	const earlyListener = await listenEarly({ip: IP, port});
	const {socket, received} = await dial(port);
	send(socket, '/one', 'early');
	const server = await serve(port, earlyListener);
	await expect.poll(received).toMatch(/early$/v);
	const closed = once(socket, 'close');
	server.stopListening();
	await closed;
	await expect(dial(port)).rejects.toThrow('ECONNREFUSED');
});

it('leaves it to the server to report that the address is in use', async () => {
	const taken = createServer().listen(0, IP);
	await once(taken, 'listening');
	closers.push(() => {
		taken.close();
	});
	const address = taken.address();
	const port = typeof address === 'object' ? address!.port : 0;
	expect(await listenEarly({ip: IP, port})).toBeUndefined();
	await expect(serve(port, undefined)).rejects.toThrow('EADDRINUSE');
});

// Guards against FAULT at a start: the process before still held the address for callers, and the new one ended.
it('serves callers once the process before has given the address free', async () => {
	const taken = createServer().listen(0, IP);
	await once(taken, 'listening');
	const address = taken.address();
	const port = typeof address === 'object' ? address!.port : 0;
	const earlyListener = await listenEarly({ip: IP, port});
	expect(earlyListener).toBeUndefined();
	const serving = serve(port, earlyListener, WAIT_MS);
	await delay(LOADING_MS);
	taken.close();
	await serving;
	const {socket, received} = await dial(port);
	send(socket, '/one', 'whole');
	await expect.poll(received).toMatch(/whole$/v);
});
