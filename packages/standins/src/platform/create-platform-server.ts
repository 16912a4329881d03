/**
HTTP server that stands in for the platform's service in tests. Besides the
protocol of `docs/design/outside-protocols.md` it serves `PUT /faults`, which
switches faults on and off, `PUT /hosts` and `GET /stats`.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {createPlatformService} from './create-platform-service.js';
import {platformFaultsSchema} from './platform-faults-schema.js';

type PlatformServer = {
	/** `http://IP:PORT`. */
	readonly address: string;
	/** Ends watches and lease timers, closes the listener and open connections. */
	readonly close: () => Promise<void>;
};

const sendJson = (res: ServerResponse, status: number, body: unknown) => {
	res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
};

/** Starts the server on an IP address and port; port 0 lets the system choose a free port. Resolves when it listens. */
export const createPlatformServer = async ({ip, port}: {readonly ip: string; readonly port: number}): Promise<PlatformServer> => {
	const service = createPlatformService();
	const faults = {
		down: false, hang: false, delayMs: 0, loseAnswers: 0,
	};
	const openWatches = new Set<() => void>();
	let hosts: unknown = [];

	const endWatches = () => {
		for (const end of openWatches) {
			end();
		}

		openWatches.clear();
	};

	const setFaults = (body: unknown, res: ServerResponse) => {
		const parsed = platformFaultsSchema.safeParse(body);
		if (!parsed.success) {
			sendJson(res, 400, {message: parsed.error.message});
			return;
		}

		Object.assign(faults, parsed.data);
		if (faults.down || faults.hang) {
			endWatches();
		}

		sendJson(res, 200, faults);
	};

	const setHosts = (list: unknown, lagMs: number, res: ServerResponse) => {
		setTimeout(() => {
			hosts = list;
		}, lagMs).unref();
		sendJson(res, 200, {});
	};

	const startWatch = (body: unknown, res: ServerResponse) => {
		res.writeHead(200, {'content-type': 'application/json'});
		const end = service.watch(body, message => res.write(`${JSON.stringify(message)}\n`));
		if (!end) {
			res.end();
			return;
		}

		openWatches.add(end);
		res.once('close', () => {
			end();
			openWatches.delete(end);
		});
	};

	const sendResponse = (path: string, body: unknown, res: ServerResponse) => {
		const {status, body: responseBody} = service.handle(path, body) ?? {status: 404, body: {message: `no such path: ${path}`}};
		if (path === '/v3/kv/txn' && faults.loseAnswers > 0) {
			faults.loseAnswers--;
			res.destroy();
			return;
		}

		sendJson(res, status, responseBody);
	};

	const serve = async (req: IncomingMessage, res: ServerResponse) => {
		const url = new URL(req.url ?? '/', 'http://standin');
		const body = req.method === 'GET' ? undefined : await json(req);
		const route = `${req.method} ${url.pathname}`;
		if (route === 'PUT /faults') {
			setFaults(body, res);
			return;
		}

		if (route === 'PUT /hosts') {
			setHosts(body, Number(url.searchParams.get('lagMs') ?? 0), res);
			return;
		}

		if (route === 'GET /stats') {
			sendJson(res, 200, service.stats());
			return;
		}

		if (faults.delayMs > 0) {
			await sleep(faults.delayMs);
		}

		if (faults.down) {
			res.destroy();
		} else if (faults.hang) {
			// The request stays open without a response until the client times out.
		} else if (route === 'GET /hosts') {
			sendJson(res, 200, hosts);
		} else if (route === 'POST /v3/watch') {
			startWatch(body, res);
		} else {
			sendResponse(url.pathname, body, res);
		}
	};

	const server = createServer(async (req, res) => {
		try {
			await serve(req, res);
		} catch (error) {
			sendJson(res, 400, {code: 3, message: String(error)});
		}
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject).listen(port, ip, resolve);
	});

	return {
		address: `http://${ip}:${(server.address() as AddressInfo).port}`,
		async close() {
			endWatches();
			service.close();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
};
