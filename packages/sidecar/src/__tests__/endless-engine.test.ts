/**
Load: a faulty engine sends what is no answer, without end.
*/
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {expect, it, onTestFinished} from 'vitest';
import {createEngineClient} from '../create-engine-client.js';
import type {RunRequest} from '../run-request.js';

const MEBIBYTE = 1024 * 1024;
const MAX_GROWTH_MIB = 64;
const MAX_MS = 4000;

const run = {
	runId: 'r1', program: 'p1', fencingNumber: 1, model: 'm', payload: '[]', maxOutputTokens: 10, priority: 0,
} as unknown as RunRequest;

const startEngine = async (status: number, first: string, repeated: string) => {
	const sendEndlessly = (res: ServerResponse): void => {
		const sendMore = (): void => {
			for (let isWritable = true; isWritable && !res.destroyed;) {
				isWritable = res.write(repeated);
			}
		};

		res.on('drain', sendMore);
		res.writeHead(status, {'content-type': 'text/event-stream'});
		res.write(first);
		sendMore();
	};

	const server = createServer((_req, res) => {
		sendEndlessly(res);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	onTestFinished(() => {
		server.closeAllConnections();
		server.close();
	});
	return createEngineClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
};

// Guards against a sidecar that runs out of memory, and the runs of all its engines with it, because one of them sends bytes without end.
it.each([
	['an unfinished line', 200, 'data: ', 'x'.repeat(65_536)],
	['an unfinished event', 200, '', `data: ${'x'.repeat(1000)}\n`.repeat(64)],
	['a refusal', 500, '', 'x'.repeat(65_536)],
])('ends a run with bounded memory if its engine sends %s without end', async (_name, status, first, repeated) => {
	const engine = await startEngine(status, first, repeated);
	const stopping = new AbortController();
	const timer = setTimeout(() => {
		stopping.abort();
	}, MAX_MS);
	const readMemory = (): number => {
		const {heapUsed, external} = process.memoryUsage();
		return heapUsed + external;
	};

	const before = readMemory();
	let peak = before;
	const watch = setInterval(() => {
		peak = Math.max(peak, readMemory());
	}, 5);
	const outcome = await engine.run(run, () => {/* There is no text. */}, stopping.signal);
	clearTimeout(timer);
	clearInterval(watch);
	expect(outcome.kind).not.toBe('finished');
	expect(outcome.kind).not.toBe('cancelled');
	expect((peak - before) / MEBIBYTE).toBeLessThan(MAX_GROWTH_MIB);
}, 20_000);
