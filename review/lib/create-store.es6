/**
A stand-in of the platform's metadata store: items with revisions, ranges, watches,
transactions and leases, over HTTP.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const PAGE_SIZE = 500;
const MAX_WAIT_MS = 30_000;
const FORBIDDEN_PREFIXES = ['op/', 'servers/'];

const readJson = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString());
};

const toBase64 = value => Buffer.from(JSON.stringify(value)).toString('base64');

/** Listens on `ip:port`. `write` and `remove` are the operator's and the workers' way to it. */
export const createStore = async ({ip, port}) => {
	const items = new Map();
	const leases = new Map();
	let history = [];
	let revision = 1;
	let waiting = [];
	let nextLease = 1;

	const wake = () => {
		const woken = waiting;
		waiting = [];
		for (const resolve of woken) {
			resolve();
		}
	};

	const put = (key, value, lease = 0) => {
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		history.push(item);
	};

	const drop = key => {
		if (items.delete(key)) {
			history.push({key, revision, deleted: true});
		}
	};

	const endLease = lease => {
		clearTimeout(leases.get(lease)?.timer);
		leases.delete(lease);
		revision++;
		for (const {key} of [...items.values()].filter(item => item.lease === lease)) {
			drop(key);
		}

		wake();
	};

	const startLease = (lease, ttlMs) => {
		clearTimeout(leases.get(lease)?.timer);
		leases.set(lease, {ttlMs, timer: setTimeout(endLease, ttlMs, lease)});
		return {lease, ttlMs};
	};

	const range = url => {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const found = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
		return {items: found.slice(0, PAGE_SIZE), hasMore: found.length > PAGE_SIZE, currentRev: revision};
	};

	const watch = async url => {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const endsAt = performance.now() + Math.min(MAX_WAIT_MS, Number(url.searchParams.get('waitMs')));
		const list = () => history.filter(each => each.revision > after && each.key.startsWith(prefix));
		while (list().length === 0 && performance.now() < endsAt) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, Math.max(1, endsAt - performance.now()));
				waiting.push(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		return {events: list(), currentRev: revision};
	};

	const transact = ({expectedRevision = [], writes = [], deletes = []}) => {
		if ([...writes.map(({key}) => key), ...deletes].some(key => FORBIDDEN_PREFIXES.some(prefix => key.startsWith(prefix)))) {
			return {status: 403, body: {}};
		}

		if (expectedRevision.some(each => (items.get(each.key)?.revision ?? 0) !== each.revision)) {
			return {status: 412, body: {items: expectedRevision.map(({key}) => items.get(key)).filter(Boolean)}};
		}

		if (writes.some(({lease}) => lease && !leases.has(lease))) {
			return {status: 404, body: {}};
		}

		revision++;
		for (const {key, value, lease} of writes) {
			put(key, value, lease);
		}

		for (const key of deletes) {
			drop(key);
		}

		wake();
		return {status: 200, body: {revision}};
	};

	const answer = async (req, url) => {
		const [, call, id] = url.pathname.split('/');
		switch (call) {
			case 'kv-key': {
				const item = items.get(url.searchParams.get('key'));
				return item ? {status: 200, body: {...item, currentRev: revision}} : {status: 404, body: {}};
			}

			case 'kv-range': {
				return {status: 200, body: range(url)};
			}

			case 'kv-watch': {
				return {status: 200, body: await watch(url)};
			}

			case 'kv-txn': {
				return transact(await readJson(req));
			}

			case 'kv-lease': {
				const {ttlMs} = await readJson(req);
				return {status: 200, body: startLease(nextLease++, ttlMs)};
			}

			case 'kv-keep': {
				const held = leases.get(Number(id));
				return held ? {status: 200, body: startLease(Number(id), held.ttlMs)} : {status: 404, body: {}};
			}

			case 'kv-lease-end': {
				endLease(Number(id));
				return {status: 200, body: {}};
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	};

	const server = createServer(async (req, res) => {
		const {status, body} = await answer(req, new URL(req.url, 'http://store'));
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	});
	server.listen(port, ip);
	await once(server, 'listening');

	return {
		address: `${ip}:${port}`,
		write(key, value) {
			revision++;
			put(key, toBase64(value));
			wake();
		},
		remove(key) {
			revision++;
			drop(key);
			wake();
		},
		/** Lists the items under a prefix, decoded. */
		list: prefix => [...items.values()].filter(({key}) => key.startsWith(prefix)).map(({key, value}) => ({key, value: JSON.parse(Buffer.from(value, 'base64').toString())})),
		close() {
			history = [];
			for (const lease of leases.keys()) {
				clearTimeout(leases.get(lease).timer);
			}

			server.close();
			server.closeAllConnections();
		},
	};
};
