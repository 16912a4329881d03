/**
Listens for callers before the rest of the process is loaded.

Load pattern: a whole system is killed and restarts on fractions of a core, and
its callers have two attempts and one second to connect. A refused connection
costs one attempt; an accepted one only waits a few hundred milliseconds until
the process handles it.
*/
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import type {EarlyListener} from './early-listener.js';

/** Resolves to `undefined` if the address cannot be bound; the server that binds it later reports the error. */
export const listenEarly = async ({ip, port}: {readonly ip: string; readonly port: number}): Promise<EarlyListener | undefined> => {
	const pendingSockets: Socket[] = [];
	let handleSocket = (socket: Socket): void => {
		pendingSockets.push(socket);
	};

	const server = createServer({pauseOnConnect: true, noDelay: true}, socket => {
		handleSocket(socket);
	});
	try {
		server.listen(port, ip);
		await once(server, 'listening');
	} catch {
		// The server for callers binds the same address later and reports the error.
		return undefined;
	}

	return {
		server,
		onConnection(listener) {
			handleSocket = listener;
			for (const socket of pendingSockets.splice(0)) {
				listener(socket);
			}
		},
		close() {
			server.close();
			for (const socket of pendingSockets) {
				socket.destroy();
			}
		},
	};
};
