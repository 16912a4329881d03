/**
Stands in for the platform's metadata store: items, ranges in pages, watches and
transactions, as `PROTOCOL.md` of the users' pages tells them.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const PAGE_ITEMS = 50;
const OK = 200;
const NOT_FOUND = 404;
const FORBIDDEN = 403;
const PRECONDITION_FAILED = 412;

const readJson = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString());
};

/** `write` and `remove` are those of the operator and the workers. */
export const startStore = async ip => {
	const items = new Map();
	const events = [];
	const waiting = new Set();
	let revision = 1;

	const put = (key, value) => {
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease: 0,
		};
		items.set(key, item);
		events.push(item);
	};

	const drop = key => {
		if (items.delete(key)) {
			events.push({key, revision, deleted: true});
		}
	};

	const change = apply => {
		revision++;
		apply();
		for (const wake of waiting) {
			wake();
		}
	};

	const answerRange = ({searchParams}, send) => {
		const after = searchParams.get('after') ?? '';
		const prefix = searchParams.get('prefix') ?? '';
		const found = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
		send(OK, {items: found.slice(0, PAGE_ITEMS), hasMore: found.length > PAGE_ITEMS, currentRev: revision});
	};

	const answerWatch = async ({searchParams}, send) => {
		const after = Number(searchParams.get('after'));
		const prefix = searchParams.get('prefix') ?? '';
		const find = () => events.filter(event => event.revision > after && event.key.startsWith(prefix));
		if (find().length === 0) {
			await new Promise(resolve => {
				const wake = () => {
					waiting.delete(wake);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(wake, Number(searchParams.get('waitMs')));
				waiting.add(wake);
			});
		}

		send(OK, {events: find(), currentRev: revision});
	};

	const answerTransaction = ({expectedRevision = [], writes = [], deletes = []}, send) => {
		const keys = [...writes.map(({key}) => key), ...deletes];
		if (keys.some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			send(FORBIDDEN, {});
			return;
		}

		if (expectedRevision.some(each => (items.get(each.key)?.revision ?? 0) !== each.revision)) {
			send(PRECONDITION_FAILED, {items: expectedRevision.flatMap(({key}) => items.get(key) ?? [])});
			return;
		}

		change(() => {
			for (const {key, value} of writes) {
				put(key, value);
			}

			for (const key of deletes) {
				drop(key);
			}
		});
		send(OK, {revision});
	};

	const server = createServer(async (req, res) => {
		const url = new URL(req.url, 'http://store');
		const send = (status, body) => {
			res.writeHead(status, {'content-type': 'application/json'});
			res.end(JSON.stringify(body));
		};

		switch (url.pathname) {
			case '/kv-range': {
				answerRange(url, send);
				break;
			}

			case '/kv-watch': {
				await answerWatch(url, send);
				break;
			}

			case '/kv-txn': {
				answerTransaction(await readJson(req), send);
				break;
			}

			default: {
				send(NOT_FOUND, {});
			}
		}
	});
	server.listen(0, ip);
	await once(server, 'listening');
	return {
		address: `${ip}:${server.address().port}`,
		write(key, value) {
			change(() => {
				put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
			});
		},
		remove(key) {
			change(() => {
				drop(key);
			});
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
