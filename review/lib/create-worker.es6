/**
A stand-in of a worker. On its streaming service it answers with events, on any
other with a short body; it echoes ids, signs its answers, rejects requests for
another instance and goes on at `Last-Event-Id`.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const BORN_AT_MS = Date.now();

/** `plan` returns for a request how many events of how long a gap it gets, and whether the answer has no length. `onRun` is called when a request begins to run. */
export const createWorker = async ({id, service, zone, ip, port, plan, onRun}) => {
	let sequence = 0;

	const answerStream = async (call, res) => {
		const {events, gapMs, isUnframed = false} = plan(call);
		res.useChunkedEncodingByDefault = !isUnframed;
		res.shouldKeepAlive &&= !isUnframed;
		res.writeHead(200, {
			'content-type': 'text/event-stream', 'x-request-id': call.id, 'x-response-signature': `${id}.${call.id}`, 'x-weight-versions': '1',
		});
		for (let number = Number(call.headers['last-event-id'] ?? 0) + 1; number <= events && !res.destroyed; number++) {
			await delay(gapMs);
			res.write(`id: ${number}\ndata: ${call.id.slice(0, 6)}-${number}\n\n`);
		}

		res.end();
	};

	const server = createServer(async (req, res) => {
		if (req.url === '/health' || req.url === '/report') {
			res.writeHead(200, {'x-instance-id': id, 'content-type': 'application/json'});
			res.end('{}');
			return;
		}

		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const call = {
			id: req.headers['x-request-id'], path: req.url, headers: req.headers, body: Buffer.concat(chunks).toString(), worker: id,
		};
		const expected = req.headers['x-expected-instance'];
		if (expected !== undefined && expected !== id) {
			res.writeHead(421, {'x-request-id': call.id, 'x-instance-id': id, 'content-length': 0});
			res.end();
			return;
		}

		onRun(call);
		if (plan) {
			await answerStream(call, res);
			return;
		}

		const body = JSON.stringify({worker: id, request: call.id});
		res.writeHead(200, {'x-request-id': call.id, 'x-response-signature': `${id}.${call.id}`, 'content-length': body.length});
		res.end(body);
	});
	server.listen(port, ip);
	await once(server, 'listening');

	return {
		id,
		/** Returns the next entry of the worker for the store. */
		beat() {
			sequence++;
			return {
				service,
				address: `${ip}:${port}`,
				zone,
				version: 'v1',
				slots: 64,
				state: 'ready',
				coldRemainingMs: 0,
				stage: 'both',
				models: [{name: 'm', version: 1, adapters: []}],
				sequence,
				born: BORN_AT_MS,
			};
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
