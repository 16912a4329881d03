/**
Stands in for a worker: registers itself in the store, refuses what is meant for
another one, and answers as the case says.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const HEARTBEAT_MS = 1200;
const LAPSE_MS = 3 * HEARTBEAT_MS;
const WRONG_INSTANCE = 421;

/** `answer` gets the response, and what was asked: `id`, `path`, `headers` and `body`. */
export const startWorker = async ({store, ip, id, service, slots, answer, version = 'v1'}) => {
	const server = createServer(async (req, res) => {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			// The connection ended before the whole request had come.
			return;
		}

		const asked = {
			id: req.headers['x-request-id'], path: req.url, headers: req.headers, body: Buffer.concat(chunks).toString(),
		};
		res.on('error', () => {/* The connection ended. */});
		if (asked.headers['x-expected-instance'] !== id) {
			res.writeHead(WRONG_INSTANCE, {'x-request-id': asked.id, 'x-instance-id': id});
			res.end();
			return;
		}

		answer(res, asked);
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(0, ip);
	await once(server, 'listening');
	const entry = {
		service, address: `${ip}:${server.address().port}`, zone: 'z1', version, slots, state: 'ready', coldRemainingMs: 0, sequence: 0, born: Date.now(),
	};
	const beat = () => {
		entry.sequence++;
		store.write(`servers/${id}`, entry);
	};

	beat();
	const timer = setInterval(beat, HEARTBEAT_MS);
	return {
		id,
		address: entry.address,
		/** Leaves without having said that it is draining: its entry is removed, and it goes on to serve. */
		leave() {
			clearInterval(timer);
			store.remove(`servers/${id}`);
		},
		/** Resets all connections and is gone; its entry lapses after three heartbeats, as the store does it. */
		crash() {
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}

			setTimeout(() => {
				store.remove(`servers/${id}`);
			}, LAPSE_MS).unref();
		},
		close() {
			clearInterval(timer);
			store.remove(`servers/${id}`);
			server.close();
			server.closeAllConnections();
		},
	};
};
