import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {onTestFinished} from 'vitest';
import {createUpstreamPools} from '../create-upstream-pools.js';

/** Starts a raw TCP server that calls `answer` for each request, until the test is over, and resolves to a pool of connections to it. */
export const startRawUpstream = async (answer: (socket: Socket) => void) => {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {/* The test resets connections. */});
		socket.on('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pools = createUpstreamPools({getMaxConnections: () => 2});
	onTestFinished(() => {
		pools.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const {port} = server.address() as AddressInfo;
	return pools.get({
		id: 'u' as UpstreamId, service: 's', address: `127.0.0.1:${port}`, dataCentre: 'd' as DataCentreId, softwareVersion: '', slots: 1, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
	});
};
