/**
Refuses the callers that were accepted before the process could serve, and closes
their port.
*/
import {createServer} from 'node:http';
import type {EarlyListener} from './early-listener.js';
import {runAfterReading} from './run-after-reading.js';

const STATUS_UNAVAILABLE = 503;

/** `headers` are those of a refusal. Each caller gets it once its request has come; nothing is passed on. */
export const refuseEarlyCallers = (listener: EarlyListener, headers: Readonly<Record<string, string>>): void => {
	const server = createServer((req, res) => {
		req.on('end', () => {
			res.writeHead(STATUS_UNAVAILABLE, {...headers, connection: 'close', 'content-length': 0});
			res.end();
		});
		req.resume();
	});
	listener.onConnection(socket => {
		server.emit('connection', socket);
		socket.resume();
	});
	runAfterReading(listener.close);
};
