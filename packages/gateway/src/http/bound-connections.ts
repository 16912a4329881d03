/**
Bounds the connections that a server keeps open.

Load pattern: a crowd opens connections and leaves them, or sends so slowly that none
ends. Each costs a descriptor and some 20 KB. The one that has been longest without a
request in flight makes room, so that a new caller still gets in; a connection whose
answer is under way is never closed for another.
*/
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {trackConnections} from './track-connections.js';

type BoundOptions = {
	readonly connections: Pick<ReturnType<typeof trackConnections>, 'countOpen' | 'closeLongestIdle'>;
	readonly maxConnections: number;
	/** Called for each connection that was closed to keep the bound. */
	readonly onClosed: () => void;
};

/** Call it after `trackConnections`. */
export const boundConnections = (server: Server, {connections, maxConnections, onClosed}: BoundOptions): void => {
	server.on('connection', (socket: Socket) => {
		if (connections.countOpen() <= maxConnections) {
			return;
		}

		onClosed();
		if (!connections.closeLongestIdle()) {
			socket.destroy();
		}
	});
};
