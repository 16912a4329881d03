/**
Load: one request in a thousand meets an error that nobody expected, while others
are under way.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {ok} from 'neverthrow';
import {request} from 'undici';
import {expect, it, vi} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createActiveCalls} from '../../forward/create-active-calls.js';
import {createGatewayServer} from '../create-gateway-server.js';

const IP = '127.0.0.1';
const PORT = 23_871;
const LATE_PORT = 23_872;
const TRACKED_PORT = 23_873;

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => ok({
		id: 'r1' as never, method: method!, path: url!, host: 'h', headers: [], deadlineMs: undefined, affinityKey: undefined, lastEventId: undefined,
	}),
	encodeRefusal: (_call, retryAfterMs) => ({'retry-after': String((retryAfterMs ?? 0) / 1000)}),
};

it('ends one request after an unexpected error, promises nothing, and serves all others', async () => {
	const reasons: string[] = [];
	const server = await createGatewayServer({
		ip: IP,
		port: PORT,
		codec: codec as CallCodec,
		activeCalls: createActiveCalls(),
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused() {/* Nothing is refused. */},
		onLate() {/* Nothing is late. */},
		onUnread() {/* There is room, and time. */},
		async onCall({path}, _body, response) {
			if (path === '/broken') {
				throw new Error('nobody expected this');
			}

			if (path === '/halfway') {
				response.start(200, []);
				response.write(new Uint8Array(10));
				throw new Error('nor this');
			}

			response.start(200, ['content-length', '0']);
			response.finish();
		},
		onFailed(reason) {
			reasons.push(reason);
		},
		onRejected() {/* Every request here is well formed. */},
	});
	const send = async (path: string): Promise<number> => {
		const res = await request(`http://${IP}:${PORT}${path}`);
		await res.body.dump();
		return res.statusCode;
	};

	expect(await send('/broken')).toBe(502);
	await expect(send('/halfway')).rejects.toThrow();
	expect(await send('/fine')).toBe(200);
	expect(reasons).toEqual(['nobody expected this', 'nor this']);
	expect(server.countActive()).toBe(0);
	server.stopListening();
});

// Guards against LOST at a planned stop: a request that came late on a connection that was open was passed on, and cut at the end of the grace.
it('refuses requests as not run that come after it has stopped listening, on connections that are still open', async () => {
	const called: string[] = [];
	const server = await createGatewayServer({
		ip: IP,
		port: LATE_PORT,
		codec: codec as CallCodec,
		activeCalls: createActiveCalls(),
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused() {/* Nothing is refused for load. */},
		onLate(_call, response) {
			response.refuse(503, 100);
		},
		onUnread() {/* There is room, and time. */},
		async onCall({path}, _body, response) {
			called.push(path);
			response.start(200, ['content-length', '0']);
			response.finish();
		},
		onFailed() {/* Nothing fails. */},
		onRejected() {/* Every request here is well formed. */},
	});
	const open = async (): Promise<Socket> => {
		const socket = connect(LATE_PORT, IP);
		await once(socket, 'connect');
		return socket;
	};

	const [fresh, slow, early] = await Promise.all([open(), open(), open()]);
	slow.write('POST /slow HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n1');
	server.drain();
	early.write('GET /early HTTP/1.1\r\nhost: h\r\n\r\n');
	const readAnswer = async (socket: Socket): Promise<string> => String(Buffer.concat(await socket.toArray() as Uint8Array[]));
	expect(await readAnswer(early)).toMatch(/^HTTP\/1\.1 200 .*connection: close/isv);
	server.stopListening();
	fresh.write('POST /late HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\n1');
	slow.write('2');
	for (const answer of await Promise.all([readAnswer(fresh), readAnswer(slow)])) {
		expect(answer).toMatch(/^HTTP\/1\.1 503 .*retry-after: 0\.1.*connection: close/isv);
	}

	expect(called).toEqual(['/early']);
});

it('holds each request from its head until its response is over or its caller has gone', async () => {
	const activeCalls = createActiveCalls();
	const answers: Array<() => void> = [];
	const server = await createGatewayServer({
		ip: IP,
		port: TRACKED_PORT,
		codec: codec as CallCodec,
		activeCalls,
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused() {/* Nothing is refused. */},
		onLate() {/* Nothing is late. */},
		onUnread() {/* There is room, and time. */},
		async onCall(_call, _body, response, active) {
			active.phase = 'preparing';
			answers.push(() => {
				response.start(200, ['content-length', '1']);
				response.finish(Buffer.from('1'));
			});
		},
		onFailed() {/* Nothing fails. */},
		onRejected() {/* Every request here is well formed. */},
	});
	const open = async (text: string): Promise<Socket> => {
		const socket = connect(TRACKED_PORT, IP);
		socket.write(text);
		await once(socket, 'connect');
		return socket;
	};

	const waitForPhases = async (...phases: readonly string[]): Promise<void> => {
		await vi.waitFor(() => {
			expect(activeCalls.list().map(({phase}) => phase)).toEqual(phases);
		});
	};

	const leaving = await open('POST /leaves HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n1');
	await waitForPhases('reading-body');
	const whole = await open('GET /whole HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForPhases('reading-body', 'preparing');
	leaving.destroy();
	await waitForPhases('preparing');
	answers[0]!();
	await once(whole, 'data');
	await waitForPhases();
	whole.destroy();
	server.stopListening();
});
