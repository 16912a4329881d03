/**
Starts a server for callers on a free port, with a codec that takes every request.
*/
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {ok} from 'neverthrow';
import {onTestFinished} from 'vitest';
import type {CallCodec} from '../../call/call-codec.js';
import {createActiveCalls} from '../../forward/create-active-calls.js';
import {createGatewayServer} from '../create-gateway-server.js';

type ServerOptions = Parameters<typeof createGatewayServer>[0];

const IP = '127.0.0.1';

const codec: Pick<CallCodec, 'decodeCall' | 'encodeRefusal'> = {
	decodeCall: ({url, method}) => ok({
		id: 'r1' as never, method: method!, path: url!, host: 'h', headers: [], deadlineMs: undefined, affinityKey: undefined, lastEventId: undefined,
	}),
	encodeRefusal: (_call, retryAfterMs) => ({'retry-after': String((retryAfterMs ?? 0) / 1000)}),
};

const findPort = async (): Promise<number> => {
	const server = createServer().listen(0, IP);
	await once(server, 'listening');
	const address = server.address();
	server.close();
	return typeof address === 'object' ? address!.port : 0;
};

/** Requests are answered with 200 and no body unless `changes` says otherwise. The server and all sockets that `open` connected are closed when the test has finished. */
export const startTestGateway = async (changes: Partial<ServerOptions> = {}) => {
	const port = await findPort();
	const activeCalls = createActiveCalls();
	const server = await createGatewayServer({
		ip: IP,
		port,
		codec: codec as CallCodec,
		activeCalls,
		limits: () => undefined,
		shouldKeepConnections: () => true,
		onArrival: () => 0,
		isAdmitted: () => true,
		onRefused(_call, response) {
			response.refuse(503, 100);
		},
		onLate() {/* Nothing is late. */},
		onUnread(_call, response) {
			response.refuse(503, 100);
		},
		async onCall(_call, _body, response) {
			response.start(200, ['content-length', '0']);
			response.finish();
		},
		onFailed() {/* The answers tell. */},
		onRejected() {/* The answers tell. */},
		...changes,
	});
	const sockets: Socket[] = [];
	onTestFinished(() => {
		server.stopListening();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		server,
		activeCalls,
		async open(): Promise<Socket> {
			const socket = connect({port, host: IP, noDelay: true});
			sockets.push(socket);
			socket.on('error', () => {/* The server may close it while it sends. */});
			await once(socket, 'connect');
			return socket;
		},
	};
};
