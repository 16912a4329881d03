/**
Load: a caller sends the bytes of a body one by one, each as a chunk of its own.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import {expect, it} from 'vitest';
import {startTestGateway} from './start-test-gateway.js';

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const MEBIBYTE = 1024 * 1024;
const PIECES = 400_000;
const PIECES_A_WRITE = 4000;
const MAX_GROWTH_MIB = 24;

/** Resolves once the connection has ended, also by a reset, since what is sent after the answer may meet a closed connection. */
const readAnswer = async (socket: Socket): Promise<string> => {
	let answer = '';
	socket.on('data', (bytes: Uint8Array) => {
		answer += String(Buffer.from(bytes));
	});
	await once(socket, 'close');
	return answer;
};

/** Resolves with what came back once `pieces` chunks of one byte are sent or the server has closed the connection. */
const sendPieces = async (socket: Socket, pieces: number): Promise<string> => {
	const answer = readAnswer(socket);
	socket.write(HEAD);
	const some = '1\r\nx\r\n'.repeat(PIECES_A_WRITE);
	for (let sent = 0; sent < pieces && socket.writable; sent += PIECES_A_WRITE) {
		if (!socket.write(some)) {
			await Promise.race([once(socket, 'drain'), once(socket, 'close')]);
		}
	}

	if (socket.writable) {
		socket.end('0\r\n\r\n');
	}

	return answer;
};

// Guards against a gateway that runs out of memory under one caller: each chunk of a body costs some 200 bytes of the heap, however small it is.
it('takes bounded memory for a body that comes in tiny pieces, and refuses it', async () => {
	const {open} = await startTestGateway();
	const {heapUsed: before} = process.memoryUsage();
	let peak = before;
	const timer = setInterval(() => {
		peak = Math.max(peak, process.memoryUsage().heapUsed);
	}, 5);
	const answer = await sendPieces(await open(), PIECES);
	clearInterval(timer);
	expect((peak - before) / MEBIBYTE).toBeLessThan(MAX_GROWTH_MIB);
	expect(answer).toMatch(/^HTTP\/1\.1 413 /v);
}, 30_000);

it('passes on a body of some thousand pieces as it was sent', async () => {
	let received = '';
	const {open} = await startTestGateway({
		async onCall(_call, body, response) {
			received = String(body);
			response.start(200, ['content-length', '0']);
			response.finish();
		},
	});
	expect(await sendPieces(await open(), PIECES_A_WRITE * 2)).toMatch(/^HTTP\/1\.1 200 /v);
	expect(received).toBe('x'.repeat(PIECES_A_WRITE * 2));
});
