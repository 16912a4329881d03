/**
Load: callers go on to send the body of a request that has been refused.
*/
import {expect, it} from 'vitest';
import {startTestGateway} from './start-test-gateway.js';

const MAX_WAIT_MS = 8000;
const CHUNK = `4000\r\n${'x'.repeat(0x40_00)}\r\n`;

// Guards against a gateway that is lost to its callers: a caller whose request was refused early could send its body without end, and all of it was read.
it('closes the connection of a refused request whose body does not end', async () => {
	const {open} = await startTestGateway({isAdmitted: () => false});
	const socket = await open();
	let answer = '';
	socket.on('data', bytes => {
		answer += String(bytes);
	});
	const startedAt = performance.now();
	socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n');
	const timer = setInterval(() => {
		if (socket.writable) {
			socket.write(CHUNK);
		}
	}, 5);
	await new Promise(resolve => {
		// It may be reset while it sends.
		socket.once('close', resolve);
		setTimeout(resolve, MAX_WAIT_MS);
	});
	clearInterval(timer);
	expect(answer).toMatch(/^HTTP\/1\.1 503 /v);
	expect(performance.now() - startedAt).toBeLessThan(MAX_WAIT_MS);
});

it('keeps the connection of a refused request whose body ends soon', async () => {
	let isAdmitted = false;
	const {open} = await startTestGateway({isAdmitted: () => isAdmitted});
	const socket = await open();
	let answers = '';
	socket.on('data', bytes => {
		answers += String(bytes);
	});
	socket.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 200\r\n\r\n');
	await expect.poll(() => answers).toMatch(/^HTTP\/1\.1 503 .*connection: keep-alive/isv);
	isAdmitted = true;
	socket.write(`${'x'.repeat(200)}GET / HTTP/1.1\r\nhost: h\r\n\r\n`);
	await expect.poll(() => answers).toMatch(/HTTP\/1\.1 200 /v);
});
