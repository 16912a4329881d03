/**
Listens for callers before the rest of the process is loaded.

Pattern of load: a whole system is killed and comes back on fractions of a core,
and its callers have two attempts and a second to connect. A connection that is
refused costs one of these; one that is made waits some hundred milliseconds for
the process behind it.
*/
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import type {EarlyListener} from './early-listener.js';

/** Resolves to `undefined` where the address cannot be bound; whoever needs it then says so. */
export const listenEarly = async ({ip, port}: {readonly ip: string; readonly port: number}): Promise<EarlyListener | undefined> => {
	const waiting: Socket[] = [];
	let take = (socket: Socket): void => {
		waiting.push(socket);
	};

	const server = createServer({pauseOnConnect: true, noDelay: true}, socket => {
		take(socket);
	});
	try {
		server.listen(port, ip);
		await once(server, 'listening');
	} catch {
		// The same address is bound again later, and that attempt reports the error.
		return undefined;
	}

	return {
		server,
		onConnection(listener) {
			take = listener;
			for (const socket of waiting.splice(0)) {
				listener(socket);
			}
		},
		close() {
			server.close();
			for (const socket of waiting) {
				socket.destroy();
			}
		},
	};
};
