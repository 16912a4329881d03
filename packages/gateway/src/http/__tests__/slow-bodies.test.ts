/**
Load: callers that announce a body and send it a byte now and then, or not at all.
*/
import {once} from 'node:events';
import {clearInterval, setInterval} from 'node:timers';
import {expect, it} from 'vitest';
import {startTestGateway} from './start-test-gateway.js';

const BODY_MS = 300;
const MAX_WAIT_MS = 2500;

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\n';

// Guards against callers that hold a gateway's memory for ever: nothing bounded the time in which the rest of a body had to come.
it.each([
	['never comes', `${HEAD}content-length: 1000\r\n\r\nx`, ''],
	['comes a byte now and then', `${HEAD}content-length: 100000\r\n\r\nx`, 'x'],
	['comes in chunks without end', `${HEAD}transfer-encoding: chunked\r\n\r\n`, '1\r\nx\r\n'],
	['has a chunk with an extension without end', `${HEAD}transfer-encoding: chunked\r\n\r\n1;a=`, 'x'],
	['has trailers without end', `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`, 'a: b\r\n'],
])('refuses a request whose body %s, once its time is over', async (_name, first, repeated) => {
	const reasons: string[] = [];
	const {open, server, activeCalls} = await startTestGateway({
		maxBodyMs: () => BODY_MS,
		onUnread(_call, response, {reason}) {
			reasons.push(reason);
			response.refuse(503, 100);
		},
	});
	const socket = await open();
	const startedAt = performance.now();
	socket.write(first);
	const timer = setInterval(() => {
		socket.write(repeated);
	}, 20);
	let answer = '';
	socket.on('data', bytes => {
		answer += String(bytes);
	});
	await once(socket, 'close');
	clearInterval(timer);
	expect(answer).toMatch(/^HTTP\/1\.1 503 .*connection: close/isv);
	expect(performance.now() - startedAt).toBeLessThan(MAX_WAIT_MS);
	expect(reasons).toEqual(['slow-body']);
	await expect.poll(server.countActive).toBe(0);
	expect(activeCalls.list()).toEqual([]);
	expect(server.heldBytes()).toBe(0);
});

it('takes a body that comes slowly within its time', async () => {
	const {open} = await startTestGateway({maxBodyMs: () => MAX_WAIT_MS});
	const socket = await open();
	socket.write(`${HEAD}content-length: 10\r\n\r\n`);
	let sent = 0;
	const timer = setInterval(() => {
		sent++;
		socket.write('x');
		if (sent === 10) {
			clearInterval(timer);
		}
	}, 20);
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	expect(String(bytes)).toMatch(/^HTTP\/1\.1 200 /v);
});
