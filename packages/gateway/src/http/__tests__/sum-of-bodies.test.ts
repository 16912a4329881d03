/**
Load: many callers send large bodies at the same time, each within its limit.
*/
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import type {CallerResponse} from '../../forward/caller-response.js';
import {startTestGateway} from './start-test-gateway.js';

const MEBIBYTE = 1024 * 1024;
/** Two bodies, beside what each of the callers costs. */
const BUDGET_BYTES = 9 * MEBIBYTE;
const BODY_BYTES = 4 * MEBIBYTE;
const CALLERS = 60;
const SETTLE_MS = 300;
/** The bodies of all callers are sent first; each refused one is read on for a second. */
const ANSWERS_WITHIN_MS = 10_000;

const WITH_LENGTH = `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;
const IN_CHUNKS = `POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${BODY_BYTES.toString(16)}\r\n`;

const readStatus = async (socket: Socket): Promise<number> => {
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	return Number(String(bytes).split(' ', 2)[1]);
};

const startWithBudget = async () => {
	const waiting: CallerResponse[] = [];
	let takenBytes = 0;
	const gateway = await startTestGateway({
		maxHeldBytes: BUDGET_BYTES,
		async onCall(_call, body, response) {
			takenBytes += body.length;
			waiting.push(response);
		},
	});
	return {...gateway, waiting, takenBytes: () => takenBytes};
};

// Guards against a gateway that runs out of memory under callers that each keep to the limit of a body: 60 of them with 4 MiB held 240 MiB.
it.each([
	['with a length', WITH_LENGTH, ''],
	['in chunks', IN_CHUNKS, '\r\n0\r\n\r\n'],
])('holds no more of all bodies %s than the process has room for, and refuses the others as not run', async (_name, head, end) => {
	const {open, server, waiting, takenBytes} = await startWithBudget();
	const sockets = await Promise.all(Array.from({length: CALLERS}, open));
	const refused: number[] = [];
	for (const socket of sockets) {
		void (async () => {
			refused.push(await readStatus(socket));
		})();

		socket.write(head);
		socket.write(new Uint8Array(BODY_BYTES));
		socket.write(end);
	}

	await expect.poll(() => refused.length + waiting.length, {timeout: ANSWERS_WITHIN_MS}).toBe(CALLERS);
	expect(takenBytes()).toBeLessThanOrEqual(BUDGET_BYTES);
	expect(waiting.length).toBeGreaterThan(0);
	expect(new Set(refused)).toEqual(new Set([503]));
	for (const response of waiting.splice(0)) {
		response.refuse(404);
	}

	await expect.poll(server.heldBytes).toBe(0);
});

it('refuses a body without room before it is sent', async () => {
	const {open, waiting} = await startWithBudget();
	const holding = await Promise.all([open(), open()]);
	for (const socket of holding) {
		socket.write(WITH_LENGTH);
		socket.write(new Uint8Array(BODY_BYTES));
	}

	await expect.poll(() => waiting.length).toBe(2);
	const late = await open();
	late.write(WITH_LENGTH);
	expect(await readStatus(late)).toBe(503);
});

it('gives room back however a request ends', async () => {
	const {open, waiting, server} = await startWithBudget();
	const [leaving, cut, answered] = await Promise.all([open(), open(), open()]);
	leaving.write(WITH_LENGTH);
	leaving.write(new Uint8Array(MEBIBYTE));
	cut.write(IN_CHUNKS);
	cut.write(new Uint8Array(MEBIBYTE));
	answered.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n');
	answered.write(new Uint8Array(1000));
	await expect.poll(server.heldBytes).toBeGreaterThanOrEqual(2 * MEBIBYTE);
	leaving.destroy();
	cut.end();
	await expect.poll(() => waiting.length).toBe(1);
	waiting[0]!.refuse(404);
	await expect.poll(server.heldBytes).toBe(0);
	expect(server.countActive()).toBe(0);
});

it('takes no room for what is announced and does not come', async () => {
	const {open, waiting} = await startWithBudget();
	const silent = await Promise.all(Array.from({length: CALLERS}, open));
	for (const socket of silent) {
		socket.write(WITH_LENGTH);
	}

	await delay(SETTLE_MS);
	const socket = await open();
	socket.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n');
	socket.write(new Uint8Array(1000));
	await expect.poll(() => waiting.length).toBe(1);
});
