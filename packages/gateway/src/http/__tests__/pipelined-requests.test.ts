/**
Load: callers send requests one after the other on a connection without waiting for
the answers.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import type {CallerResponse} from '../../forward/caller-response.js';
import {startTestGateway} from './start-test-gateway.js';

const REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n';
const REQUESTS = 50;
const MANY = 2000;
const MAX_HELD_BYTES = 1024 * 1024;
const SETTLE_MS = 300;

const startWaiting = async (changes?: Parameters<typeof startTestGateway>[0]) => {
	const waiting: CallerResponse[] = [];
	const gateway = await startTestGateway({
		...changes,
		async onCall(_call, _body, response) {
			waiting.push(response);
		},
	});
	return {...gateway, waiting};
};

// Guards against requests that are held for ever: of those that wait for the answers before them, none ended when their caller left.
it('ends all requests of a connection when their caller leaves', async () => {
	const {open, server, activeCalls, waiting} = await startWaiting();
	const socket = await open();
	socket.write(`${REQUEST}${'x'.repeat(1000)}`.repeat(REQUESTS));
	await expect.poll(() => waiting.length).toBe(REQUESTS);
	socket.destroy();
	await expect.poll(server.countActive).toBe(0);
	expect(activeCalls.list()).toEqual([]);
	expect(server.heldBytes()).toBe(0);
	expect(waiting.every(response => response.isDisconnected())).toBe(true);
});

// Guards against a gateway that runs out of memory under requests without end, each of which is small: a waiting one costs some 7 KB.
it('holds no more requests at once than it has room for, and refuses the others as not run', async () => {
	const {open, server, waiting} = await startWaiting({maxHeldBytes: MAX_HELD_BYTES});
	const sockets = await Promise.all(Array.from({length: 4}, open));
	const answers = sockets.map(() => '');
	for (const [index, socket] of sockets.entries()) {
		socket.on('data', bytes => {
			answers[index] += String(bytes);
		});
		socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(MANY));
	}

	await expect.poll(() => waiting.length).toBeGreaterThan(0);
	await delay(SETTLE_MS);
	expect(server.heldBytes()).toBeLessThanOrEqual(MAX_HELD_BYTES);
	expect(waiting.length).toBeLessThan(MAX_HELD_BYTES / 5000);
	for (const response of waiting.splice(0)) {
		response.refuse(404);
	}

	await expect.poll(() => answers.some(answer => answer.includes('HTTP/1.1 503'))).toBe(true);
	for (const socket of sockets) {
		socket.destroy();
	}

	// Node stops reading from callers that do not take their answers, and then sees only at the next write that they have left.
	await expect.poll(() => {
		for (const response of waiting.splice(0)) {
			response.refuse(404);
		}

		return server.heldBytes();
	}).toBe(0);
	expect(server.countActive()).toBe(0);
});

it('answers all requests of a connection in their order', async () => {
	const {open, server, waiting} = await startWaiting();
	const socket = await open();
	let answers = '';
	socket.on('data', bytes => {
		answers += String(bytes);
	});
	socket.write(`${REQUEST}${'x'.repeat(1000)}`.repeat(3));
	await expect.poll(() => waiting.length).toBe(3);
	for (const status of [202, 201, 200]) {
		waiting.pop()!.refuse(status);
		await delay(20);
	}

	await expect.poll(() => answers.match(/HTTP\/1\.1 \d+/gv)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 201', 'HTTP/1.1 202']);
	await expect.poll(server.countActive).toBe(0);
});
