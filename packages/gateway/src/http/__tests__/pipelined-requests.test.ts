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

const startWaiting = async () => {
	const waiting: CallerResponse[] = [];
	const gateway = await startTestGateway({
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
