/**
Load pattern: a planned stop while callers read slowly, send their next
request or have just connected.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {afterEach, expect, it} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createActiveCalls} from '../../forward/create-active-calls.js';
import {createGatewayServer} from '../create-gateway-server.js';

const IP = '127.0.0.1';
/** More than the buffers of both sockets take up while the caller does not read. */
const LARGE_BYTES = 32 * 1024 * 1024;
/** Fits in the send buffer of the server, and is larger than what the caller takes without reading. */
const BUFFERED_BYTES = 1024 * 1024;
const STOP_CHECK_INTERVAL_MS = 50;
const WRITING_MS = 200;

const sockets: Socket[] = [];
afterEach(() => {
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}
});

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => ok({
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

/** Answers `/BYTES` with so many bytes. */
const serve = async () => {
	const port = await findPort();
	const server = await createGatewayServer({
		ip: IP,
		port,
		codec: codec as CallCodec,
		activeCalls: createActiveCalls(),
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused() {/* Nothing is refused for load. */},
		onLate(_call, response) {
			response.refuse(503);
		},
		onUnread() {/* There is room, and time. */},
		async onCall({path}, _body, response) {
			const length = Number(path.slice(1));
			response.start(200, ['content-length', String(length)]);
			response.finish(new Uint8Array(length));
		},
		onFailed() {/* Nothing fails. */},
		onRejected() {/* Every request here is well formed. */},
	});
	return {port, server};
};

const open = async (port: number): Promise<Socket> => {
	const socket = connect({port, host: IP, noDelay: true});
	sockets.push(socket);
	await once(socket, 'connect');
	return socket;
};

const ask = (socket: Socket, bytes: number): void => {
	socket.write(`GET /${bytes} HTTP/1.1\r\nhost: h\r\n\r\n`);
};

/** Resolves to how many bytes of body came before the end of the connection; rejects if it was reset. */
const readBodyBytes = async (socket: Socket): Promise<number> => {
	const answer = Buffer.concat(await socket.toArray() as Uint8Array[]);
	return answer.length - answer.indexOf('\r\n\r\n') - 4;
};

// Guards against LOST at a planned stop: an answer that had been ended, but not yet written out because its caller read slowly, was cut.
it.each([false, true])('delivers an answer that its caller reads late (stop begun before the request: %s)', async isDraining => {
	const {port, server} = await serve();
	if (isDraining) {
		server.drain();
	}

	const socket = await open(port);
	ask(socket, LARGE_BYTES);
	await delay(WRITING_MS);
	server.drain();
	for (let i = 0; i < 3; i++) {
		server.stopListening();
		await delay(STOP_CHECK_INTERVAL_MS);
	}

	const active = server.countActive();
	const bytes = readBodyBytes(socket);
	const timer = setInterval(server.stopListening, STOP_CHECK_INTERVAL_MS);
	expect(await bytes).toBe(LARGE_BYTES);
	clearInterval(timer);
	expect(active).toBe(1);
	await expect.poll(server.countActive).toBe(0);
});

// Guards against cut callers at a planned stop: what the kernel held unread when the stop closed the connection got no answer.
it('answers a next request that arrives before the close of its kept connection', async () => {
	const {port, server} = await serve();
	const socket = await open(port);
	ask(socket, BUFFERED_BYTES);
	await delay(WRITING_MS);
	expect(server.countActive()).toBe(0);
	server.drain();
	ask(socket, 1);
	server.stopListening();
	await delay(STOP_CHECK_INTERVAL_MS);
	const answers = Buffer.concat(await socket.toArray() as Uint8Array[]);
	const late = answers.subarray(answers.indexOf('\r\n\r\n') + 4 + BUFFERED_BYTES);
	expect(String(late)).toMatch(/^HTTP\/1\.1 503 .*connection: close/isv);
});

it('closes kept connections at once beside one whose caller does not read', async () => {
	const {port, server} = await serve();
	const slow = await open(port);
	ask(slow, LARGE_BYTES);
	const idle = await open(port);
	ask(idle, 1);
	await delay(WRITING_MS);
	server.drain();
	server.stopListening();
	expect(await readBodyBytes(idle)).toBe(1);
	expect(server.countActive()).toBe(1);
});

it('answers a request that had begun on a kept connection when the others were closed', async () => {
	const {port, server} = await serve();
	const socket = await open(port);
	ask(socket, 1);
	await delay(WRITING_MS);
	socket.write('GET /1 HTTP/1.1\r\nhos');
	await delay(STOP_CHECK_INTERVAL_MS);
	server.drain();
	server.stopListening();
	socket.write('t: h\r\n\r\n');
	expect(String(Buffer.concat(await socket.toArray() as Uint8Array[]))).toMatch(/^HTTP\/1\.1 200 .*HTTP\/1\.1 503 /sv);
});

// Guards against cut callers at a planned stop: a connection that the kernel had accepted, and the process had not, was reset when the port closed.
it('answers a caller that connects just before the port closes', async () => {
	const {port, server} = await serve();
	server.drain();
	const socket = connect(port, IP);
	sockets.push(socket);
	// The connection is made in the next tick, before the server learns of it.
	await new Promise<void>(resolve => {
		process.nextTick(resolve);
	});
	server.stopListening();
	ask(socket, 1);
	expect(String(Buffer.concat(await socket.toArray() as Uint8Array[]))).toMatch(/^HTTP\/1\.1 (?:200|503) /v);
});

// Guards against cut callers at a planned stop: of many connections that the kernel held, only one is accepted in each turn of the event loop, and the port closed before the others.
it('answers many callers that connect just before the port closes', async () => {
	const {port, server} = await serve();
	server.drain();
	const callers = Array.from({length: 30}, () => connect(port, IP));
	sockets.push(...callers);
	await new Promise<void>(resolve => {
		process.nextTick(resolve);
	});
	server.stopListening();
	for (const socket of callers) {
		ask(socket, 1);
	}

	const answers = await Promise.all(callers.map(async socket => String(Buffer.concat(await socket.toArray() as Uint8Array[]))));
	expect(answers.filter(answer => !/^HTTP\/1\.1 (?:200|503) /v.test(answer))).toEqual([]);
});

// Guards against a reset by the end of the process: a connection that had sent nothing stayed open until then.
it('closes connections that have sent nothing once the stop is over', async () => {
	const {port, server} = await serve();
	const silent = await open(port);
	await delay(WRITING_MS);
	server.drain();
	server.stopListening();
	await delay(STOP_CHECK_INTERVAL_MS);
	expect(silent.closed).toBe(false);
	server.closeSilent();
	expect(await silent.toArray()).toEqual([]);
});
