import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {expect, it, onTestFinished} from 'vitest';
import {createUpstreamPools} from '../create-upstream-pools.js';
import {sendToUpstream} from '../send-to-upstream.js';

const CALLERS = 200;
const MEBIBYTE = 1024 * 1024;
/** What 200 answers may take beside all else on a gateway of 178 MB, 73 of them used when fresh. */
const MAX_GROWTH_MIB = 50;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

const measure = (): number => {
	collect();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return (heapUsed + arrayBuffers) / MEBIBYTE;
};

// Guards against a gateway that runs out of memory because heads of answers stop just below their bound and consist of thousands of fields, each of which costs objects.
it('holds little of heads of tiny fields that stay unfinished', async () => {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {/* The test ends connections. */});
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(4000)}`);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pools = createUpstreamPools({getMaxConnections: () => CALLERS});
	onTestFinished(() => {
		pools.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const {port} = server.address() as AddressInfo;
	const pool = pools.get({
		id: 'u' as UpstreamId, service: 's', address: `127.0.0.1:${port}`, dataCentre: 'd' as DataCentreId, softwareVersion: '', slots: 1, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
	});
	const before = measure();
	const exchanges = Array.from({length: CALLERS}, () => sendToUpstream(pool, {
		method: 'GET', path: '/', buildHeaders: () => [], body: new Uint8Array(), deadlineAt: Infinity,
	}, {
		onSent() {/* Not checked. */}, onHead() {/* Never comes. */}, onData() {/* Never comes. */}, onEnd() {/* Never comes. */}, onFailed() {/* The test aborts all. */},
	}));
	const growth: number[] = [];
	for (let second = 0; second < 4; second++) {
		await wait(1000);
		growth.push(Math.round(measure() - before));
	}

	for (const exchange of exchanges) {
		exchange.abort();
	}

	expect(Math.max(...growth)).toBeLessThan(MAX_GROWTH_MIB);
}, 60_000);
