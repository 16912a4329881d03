/**
Creates a TCP relay whose open connections can go silent without closing while
new ones work, as when a device between two hosts has lost its connection state.
*/
import {once} from 'node:events';
import {
	createServer, connect, type Socket,
} from 'node:net';
import type {TcpRelay} from './tcp-relay.js';

const forward = (from: Socket, to: Socket): void => {
	from.pipe(to);
	from.on('error', () => to.destroy());
	from.on('close', () => to.destroy());
};

/** Stops forwarding from the socket; neither end is told any more when the other one closes. */
const muteSocket = (socket: Socket): void => {
	socket.unpipe();
	socket.removeAllListeners('error').removeAllListeners('close');
	socket.on('error', () => socket.destroy());
	// Reading and discarding keeps the peer from noticing a full buffer.
	socket.resume();
};

/** Resolves when the relay listens; both ports are on the loopback interface. */
export const createTcpRelay = async (port: number, targetPort: number): Promise<TcpRelay> => {
	const openSockets = new Set<Socket>();
	const allSockets = new Set<Socket>();
	const track = (socket: Socket): void => {
		openSockets.add(socket);
		allSockets.add(socket);
		socket.on('close', () => {
			openSockets.delete(socket);
		});
	};

	const server = createServer(client => {
		const target = connect(targetPort, '127.0.0.1');
		track(client);
		track(target);
		forward(client, target);
		forward(target, client);
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		port,
		refuse() {
			server.close();
		},
		accept() {
			if (!server.listening) {
				server.listen(port, '127.0.0.1');
			}
		},
		silence() {
			const count = openSockets.size / 2;
			for (const socket of openSockets) {
				muteSocket(socket);
			}

			openSockets.clear();
			return count;
		},
		close() {
			server.close();
			for (const socket of allSockets) {
				socket.destroy();
			}
		},
	};
};
