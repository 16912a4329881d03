import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {expect, it, onTestFinished} from 'vitest';
import {createUpstreamPools} from '../create-upstream-pools.js';
import {sendToUpstream} from '../send-to-upstream.js';

const FLOODS = 200;
const SOUND_BYTES = 256 * 1024;
/** The time of a usual route. */
const MAX_MS = 2000;

/** `/flood` is answered by chunks of one byte without end, `/sound` by a plain body. */
const UPSTREAM = `
const {createServer} = require('node:net');
const {parentPort} = require('node:worker_threads');
const piece = Buffer.from('1\\r\\nx\\r\\n'.repeat(10000));
const server = createServer(socket => {
	socket.on('error', () => {});
	socket.on('data', data => {
		if (String(data).includes('/sound')) {
			socket.write('HTTP/1.1 200 OK\\r\\nContent-Length: ${SOUND_BYTES}\\r\\n\\r\\n' + 'x'.repeat(${SOUND_BYTES}));
			return;
		}
		const go = () => { if (!socket.destroyed) { if (socket.write(piece)) setImmediate(go); else socket.once('drain', go); } };
		socket.write('HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n');
		go();
	});
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

// Guards against sound answers of a few reads that miss their time because each of their reads waits for one costly read of every faulty connection.
it('serves a sound answer of 256 KiB in time beside 200 that send chunks of one byte without end', async () => {
	const worker = new Worker(UPSTREAM, {eval: true});
	const [port] = await once(worker, 'message') as [number];
	const pools = createUpstreamPools({getMaxConnections: () => FLOODS});
	onTestFinished(async () => {
		pools.close();
		await worker.terminate();
	});
	const getPool = (id: string) => pools.get({
		id: id as UpstreamId, service: 's', address: `127.0.0.1:${port}`, dataCentre: 'd' as DataCentreId, softwareVersion: '', slots: 1, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
	});
	const send = (id: string, path: string, onEnd: () => void) => sendToUpstream(getPool(id), {
		method: 'GET', path, buildHeaders: () => [], body: new Uint8Array(), deadlineAt: Infinity,
	}, {
		onSent() {/* Not checked. */}, onHead() {/* Not checked. */}, onData() {/* Not checked. */}, onEnd, onFailed() {/* Aborted by the test. */},
	});
	const fetchSound = async (): Promise<number> => {
		const startedAt = performance.now();
		await Promise.race([new Promise<void>(resolve => {
			send('sound', '/sound', resolve);
		}), wait(20_000)]);
		return Math.round(performance.now() - startedAt);
	};

	const alone = await fetchSound();
	const floods = Array.from({length: FLOODS}, () => send('faulty', '/flood', () => {/* Never. */}));
	await wait(3000);
	const beside: number[] = [];
	for (let round = 0; round < 3; round++) {
		beside.push(await fetchSound());
	}

	for (const flood of floods) {
		flood.abort();
	}

	console.log({alone, beside});
	expect(Math.max(...beside)).toBeLessThan(MAX_MS);
}, 90_000);
