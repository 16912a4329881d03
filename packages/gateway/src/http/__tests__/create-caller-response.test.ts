import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createServer, get, IncomingMessage, ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {Duplex} from 'node:stream';
import {setImmediate as endTurn} from 'node:timers/promises';
import {createOutboundQueue} from '@siskinhub/peer/create-outbound-queue.js';
import {describe, expect, it} from 'vitest';
import {createAnswerMemory} from '../../forward/create-answer-memory.js';
import {createCallerResponse} from '../create-caller-response.js';

const FIXTURE = path.join(import.meta.dirname, 'serve-endless-answer.ts');

// Guards against review case 2: the kernel of a killed process ends its connections in order, which is how an answer without a length and without chunks ends.
it('does not let an answer without a length look whole when its process is killed', async () => {
	const server = spawn(process.execPath, ['--import', 'tsx', FIXTURE], {stdio: ['ignore', 'pipe', 'inherit']});
	try {
		const [port] = await once(server.stdout, 'data') as [Uint8Array];
		const req = get(`http://127.0.0.1:${String(port).trim()}/`);
		const [res] = await once(req, 'response') as [IncomingMessage];
		const [event] = await once(res, 'data') as [Uint8Array];
		expect(String(event)).toBe('id: 1\ndata: one\n\n');
		const failed = once(res, 'error');
		server.kill('SIGKILL');
		await failed;
		expect(res.complete).toBe(false);
	} finally {
		server.kill('SIGKILL');
	}
});

/** Starts a response to a caller on a fake connection, which passes what reaches it to `onBytes`. */
const startResponse = (onBytes: (text: string) => void) => {
	const socket = new Duplex({
		read() {/* The caller sends nothing more. */},
		write(chunk: Uint8Array, _encoding, callback) {
			onBytes(String(chunk));
			callback();
		},
		writev(chunks, callback) {
			onBytes(chunks.map(({chunk}) => String(chunk)).join(''));
			callback();
		},
	}) as Socket;
	const req = new IncomingMessage(socket);
	req.httpVersionMajor = 1;
	req.httpVersionMinor = 1;
	const res = new ServerResponse(req);
	res.assignSocket(socket);
	const response = createCallerResponse(res, {encodeRefusal: () => ({})});
	response.sendAfterMessages();
	response.start(200, ['content-type', 'text/event-stream']);
	return {res, response};
};

describe('the order of messages and events', () => {
	// Guards against a refused resumption: the gateway was killed right after an event had reached its caller, and the holders had not been sent the event.
	it('sends the holders an event of a kept turn before the caller gets it', async () => {
		const order: string[] = [];
		const queue = createOutboundQueue({
			write() {
				order.push('holder');
			},
		});
		const {response} = startResponse(text => {
			order.push(text.includes('one') ? 'caller' : text);
		});
		queue.push({id: 1});
		response.write(Buffer.from('id: 1\ndata: one\n\n'));
		await endTurn();
		await endTurn();
		expect(order).toEqual(['holder', 'caller']);
	});

	it('has the messages of several calls share a frame', async () => {
		const order: string[] = [];
		const queue = createOutboundQueue({
			write() {
				order.push('holder');
			},
		});
		// Each event is handled in a task of its own, as data from different connections is.
		const responses = Array.from({length: 3}, () => startResponse(() => {
			order.push('caller');
		}));
		await new Promise(resolve => {
			process.nextTick(resolve);
		});
		for (const {response} of responses) {
			queue.push({id: 1});
			response.write(Buffer.from('data: one\n\n'));
			await Promise.resolve();
		}

		await endTurn();
		await endTurn();
		expect(order).toEqual(['holder', 'caller', 'caller', 'caller']);
	});

	it('ends a response that still holds an event at once and whole, and leaves the next one on its connection alone', async () => {
		let sent = '';
		const {response, res} = startResponse(text => {
			sent += text;
		});
		const {socket} = res;
		response.write(Buffer.from('data: one\n\n'));
		response.finish(Buffer.from('data: two\n\n'));
		expect(sent).toMatch(/data: one\n\n[^]*data: two\n\n[^]*0\r\n\r\n$/);
		socket!.cork();
		await endTurn();
		await endTurn();
		expect(socket!.writableCorked).toBe(1);
	});

	it('tells a writer that it may go on after a full buffer, and sends everything', async () => {
		const written = Buffer.alloc(4 * 1024 * 1024);
		const results: boolean[] = [];
		const server = createServer((_req, res) => {
			const response = createCallerResponse(res, {encodeRefusal: () => ({})});
			response.sendAfterMessages();
			response.start(200, ['content-type', 'text/event-stream']);
			results.push(response.write(written));
			response.onDrain(() => {
				results.push(response.write(Buffer.from('more')));
				response.finish();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const answer = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
		const received = await answer.arrayBuffer();
		server.close();
		expect(received.byteLength).toBe(written.length + 4);
		expect(results).toEqual([false, true]);
	});
});

// Guards against a process that runs out of memory with answers that slow callers do not take.
describe('what a caller has not taken', () => {
	it.each(['takes it at last', 'leaves'])('is held until the caller %s', async end => {
		const memory = createAnswerMemory();
		const written = Buffer.alloc(32 * 1024 * 1024);
		const server = createServer((_req, res) => {
			const response = createCallerResponse(res, {encodeRefusal: () => ({}), holding: memory.open()});
			response.start(200, []);
			response.finish(written);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const req = get(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
		const [res] = await once(req, 'response') as [IncomingMessage];
		expect(memory.heldBytes()).toBeGreaterThanOrEqual(written.length);
		if (end === 'leaves') {
			res.on('error', () => {/* Expected. */});
			req.destroy();
		} else {
			res.resume();
			await once(res, 'end');
		}

		await expect.poll(memory.heldBytes).toBe(0);
		server.closeAllConnections();
		server.close();
	});
});
