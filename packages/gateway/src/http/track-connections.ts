/**
Follows the connections of an HTTP server, so that a planned stop closes only those
that are idle.

`closeIdleConnections` of Node also destroys connections whose last answer has been
ended but not written out, which cuts the answer for a caller that reads slowly.
*/
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Connection = {
	/** Answers that have not been written out. */
	openAnswers: number;
	/** Bytes read up to the end of the last exchange; `undefined` before the first. */
	bytesRead: number | undefined;
};

type ConnectionTracker = {
	/** Closes each connection whose answers have all been written out and on which no further request has begun. A connection without a request yet is not idle: its caller is about to send. */
	readonly closeIdle: () => void;
};

/** Call it before the server accepts the first connection. */
export const trackConnections = (server: Server): ConnectionTracker => {
	const connections = new Map<Socket, Connection>();

	server.on('connection', (socket: Socket) => {
		connections.set(socket, {openAnswers: 0, bytesRead: undefined});
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		const {socket} = req;
		const connection = connections.get(socket);
		if (!connection) {
			return;
		}

		connection.openAnswers++;
		const recordEnd = (): void => {
			connection.bytesRead = socket.bytesRead;
		};

		// A request that was refused early may end after its answer.
		req.once('end', recordEnd);
		res.once('close', () => {
			connection.openAnswers--;
			recordEnd();
		});
	});

	return {
		closeIdle() {
			for (const [socket, {openAnswers, bytesRead}] of connections) {
				if (openAnswers === 0 && bytesRead === socket.bytesRead) {
					socket.destroy();
				}
			}
		},
	};
};
