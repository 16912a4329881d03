import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {expect, it, vi} from 'vitest';
import {serveText} from '../serve-text.js';

const IP = '127.0.0.1';
const HELD_MS = 100;
const WAIT_MS = 5000;
const MAX_CONNECTION_MS = 8000;
const answer = () => ({status: 200, text: 'fine'});

const holdPort = async () => {
	const holder = createServer().listen(0, IP);
	await once(holder, 'listening');
	return {holder, port: (holder.address() as AddressInfo).port};
};

// Guards against FAULT at a start: an address in use was an error that nobody caught, and the process ended.
it('serves once the process before has given the address free', async () => {
	const {holder, port} = await holdPort();
	const serving = serveText({ip: IP, port, waitMs: WAIT_MS}, answer);
	await delay(HELD_MS);
	holder.close();
	const server = await serving;
	const res = await request(`http://${IP}:${port}/ready`);
	expect([res.statusCode, await res.body.text()]).toEqual([200, 'fine']);
	server.close();
});

it('rejects if the address stays in use', async () => {
	const {holder, port} = await holdPort();
	await expect(serveText({ip: IP, port}, answer)).rejects.toThrow(`${IP}:${port}`);
	holder.close();
});

// Guards against FAULT: an error while the metrics were rendered was a rejection that nobody caught, and the process ended.
it('answers 500 and logs the reason if there is no answer', async () => {
	const warn = vi.fn<() => void>();
	const server = await serveText({ip: IP, port: 0, log: {info() {/* It need not wait. */}, warn}}, async () => {
		throw new Error('no gauge');
	});
	const {port} = server.address() as AddressInfo;
	const res = await request(`http://${IP}:${port}/metrics`, {headersTimeout: WAIT_MS});
	await res.body.dump();
	expect(res.statusCode).toBe(500);
	expect(warn).toHaveBeenCalledExactlyOnceWith(expect.any(String), expect.objectContaining({reason: 'no gauge'}));
	server.close();
});

// Guards against connections that are never given up: a body without end was read for five minutes, an unread answer held for ever.
it.each([
	['sends a body without end', 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n', '1\r\nx\r\n'],
	['sends no whole head', 'GET / HTTP/1.1\r\n', ''],
	['sends nothing', '', ''],
])('gives up a connection that %s', async (_name, first, repeated) => {
	const server = await serveText({ip: IP, port: 0}, answer);
	const socket = connect((server.address() as AddressInfo).port, IP);
	const closed = new Promise(resolve => {
		socket.on('error', () => {/* It may be reset while it sends. */});
		socket.once('close', resolve);
	});
	socket.resume();
	socket.write(first);
	const timer = setInterval(() => {
		socket.write(repeated);
	}, 50);
	expect(await Promise.race([closed, delay(MAX_CONNECTION_MS, 'still open')])).not.toBe('still open');
	clearInterval(timer);
	socket.destroy();
	server.close();
}, 15_000);
