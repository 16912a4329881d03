import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {onTestFinished} from 'vitest';

type FakeRequest = {readonly route: string; readonly body: unknown; readonly operator?: string};

/** A status and body, or `cut` to close the connection without an answer. */
type FakeResponse = readonly [number, unknown] | 'cut';

/** Starts a server that answers `METHOD /path` from `routes` and ignores queries; `/v1/table/edits/*` matches every edit. */
export const startFakeEntry = async (routes: Readonly<Record<string, FakeResponse>>) => {
	const requests: FakeRequest[] = [];
	const server = createServer(async (req, res) => {
		const body = await text(req);
		const path = (req.url ?? '').split('?', 1)[0] ?? '';
		const route = `${req.method} ${path.replace(/(?<=\/edits\/).+$/v, '*')}`;
		requests.push({route, body: body === '' ? undefined : JSON.parse(body), operator: req.headers['siskinhub-operator'] as string | undefined});
		const response = routes[route] ?? [404, {code: 'unknown-request', message: 'There is no such thing.'}];
		if (response === 'cut') {
			req.socket.destroy();
			return;
		}

		res.writeHead(response[0], {'content-type': 'application/json'}).end(JSON.stringify(response[1]));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	onTestFinished(() => {
		server.closeAllConnections();
		server.close();
	});
	const listPosted = () => requests.filter(({route}) => route === 'POST /v1/table/edits');
	return {address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, requests, listPosted};
};
