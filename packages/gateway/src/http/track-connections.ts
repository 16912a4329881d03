/**
Follows the connections of an HTTP server, so that a planned stop closes only those
that are idle.

`closeIdleConnections` of Node also destroys connections whose last answer has been
ended but not written out, which cuts the answer for a caller that reads slowly.
*/
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Connection = {
	/** Those that have not been written out. */
	readonly openAnswers: Set<ServerResponse>;
	/** Bytes read up to the end of the last exchange; `undefined` before the first. */
	bytesRead: number | undefined;
	isClosed: boolean;
};

/** Closes the answers of a closed connection that waited for the ones before them: Node closes only the one that it writes, and the others would be open for ever. */
const closeWaiting = ({openAnswers}: Connection): void => {
	for (const res of openAnswers) {
		if (!res.socket && !res.writableFinished) {
			res.destroy();
			res.emit('close');
		}
	}
};

type ConnectionTracker = {
	/** Whether this side has closed the connection, or it is closed altogether; what arrives on it gets no answer, and its sender sees the close. Node may parse the rest of what it has read after the close. */
	readonly isClosed: (socket: Socket) => boolean;
	/** Closes each connection whose answers have all been written out and on which no further request has begun. A connection without a request yet is not idle: its caller is about to send. */
	readonly closeIdle: () => void;
	/** Closes each connection without a request in flight, also one that has sent nothing yet; for the end of the process, which would reset what arrives then. */
	readonly closeSilent: () => void;
	/** Closes the connection that has been longest without a request in flight, also one whose request has not come whole; returns `false` if there is none. */
	readonly closeLongestIdle: () => boolean;
	/** Counts the connections that were accepted so far. */
	readonly countAccepted: () => number;
	/** Counts the connections that are open. */
	readonly countOpen: () => number;
};

/** Call it before the server accepts the first connection. */
export const trackConnections = (server: Server): ConnectionTracker => {
	/** Those whose last exchange is longest ago come first. */
	const connections = new Map<Socket, Connection>();
	let accepted = 0;

	server.on('connection', (socket: Socket) => {
		accepted++;
		const connection: Connection = {openAnswers: new Set(), bytesRead: undefined, isClosed: false};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			closeWaiting(connection);
		});
	});
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		const {socket} = req;
		const connection = connections.get(socket);
		if (!connection) {
			return;
		}

		connection.openAnswers.add(res);
		const recordEnd = (): void => {
			connection.bytesRead = socket.bytesRead;
		};

		// A request that was refused early may end after its answer.
		req.once('end', recordEnd);
		res.once('close', () => {
			connection.openAnswers.delete(res);
			recordEnd();
			if (connections.delete(socket)) {
				connections.set(socket, connection);
			}
		});
	});

	const close = (socket: Socket, connection: Connection): void => {
		connection.isClosed = true;
		// Destroying it would reset it if a next request lies unread, and the reset overtakes what the caller has not received of the answer before.
		socket.end();
	};

	return {
		isClosed: socket => connections.get(socket)?.isClosed ?? true,
		closeIdle() {
			for (const [socket, connection] of connections) {
				if (!connection.isClosed && connection.openAnswers.size === 0 && connection.bytesRead === socket.bytesRead) {
					close(socket, connection);
				}
			}
		},
		closeSilent() {
			for (const [socket, connection] of connections) {
				if (!connection.isClosed && connection.openAnswers.size === 0) {
					close(socket, connection);
				}
			}
		},
		closeLongestIdle() {
			for (const [socket, connection] of connections) {
				if (connection.openAnswers.size === 0) {
					connections.delete(socket);
					socket.destroySoon();
					return true;
				}
			}

			return false;
		},
		countAccepted: () => accepted,
		countOpen: () => connections.size,
	};
};
