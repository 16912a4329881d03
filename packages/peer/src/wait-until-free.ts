/**
Waits until the process before, which may still use the same files, has ended: it
holds its address to the end.
*/
import {once} from 'node:events';
import {createServer} from 'node:net';
import {listenWhenFree} from './listen-when-free.js';

/** Resolves once the address could be bound, and leaves it free; rejects as `listenWhenFree` does. */
export const waitUntilFree = async (address: Parameters<typeof listenWhenFree>[1]): Promise<void> => {
	const server = createServer(socket => {
		// The peer dials again.
		socket.destroy();
	});
	await listenWhenFree(server, address);
	const closed = once(server, 'close');
	server.close();
	await closed;
};
