import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {listenWhenFree} from '../listen-when-free.js';

const IP = '127.0.0.1';
const HELD_MS = 200;
const WAIT_MS = 5000;
const SHORT_WAIT_MS = 120;

const servers: Server[] = [];
afterEach(() => {
	for (const server of servers.splice(0)) {
		server.close();
	}
});

const holdPort = async (): Promise<{readonly holder: Server; readonly port: number}> => {
	const holder = createServer().listen(0, IP);
	servers.push(holder);
	await once(holder, 'listening');
	return {holder, port: (holder.address() as AddressInfo).port};
};

const createListener = () => {
	const server = createServer();
	servers.push(server);
	return {server, log: {info: vi.fn<(msg: string) => void>(), warn: vi.fn<(msg: string) => void>()}};
};

// Guards against FAULT at a start: the process before still held the address, and the new one ended.
it('listens once the address is free, and logs the wait', async () => {
	const {holder, port} = await holdPort();
	const {server, log} = createListener();
	const listening = listenWhenFree(server, {
		ip: IP, port, waitMs: WAIT_MS, log,
	});
	await delay(HELD_MS);
	expect(server.listening).toBe(false);
	holder.close();
	await listening;
	expect((server.address() as AddressInfo).port).toBe(port);
	expect(log.warn).toHaveBeenCalledExactlyOnceWith(expect.any(String), {address: `${IP}:${port}`, waitMs: WAIT_MS});
	expect(log.info).toHaveBeenCalledOnce();
});

it('rejects with the address and what to do if the address stays in use', async () => {
	const {port} = await holdPort();
	const {server, log} = createListener();
	const startedAt = performance.now();
	await expect(listenWhenFree(server, {
		ip: IP, port, waitMs: SHORT_WAIT_MS, log,
	})).rejects.toThrow(new RegExp(`${IP}:${port}.*EADDRINUSE.*End the process`, 'v'));
	expect(performance.now() - startedAt).toBeGreaterThanOrEqual(SHORT_WAIT_MS - 1);
	expect(log.warn).toHaveBeenCalledOnce();
	expect(log.info).not.toHaveBeenCalled();
});

it('logs nothing if the address is free, and rejects at once if it can never be bound', async () => {
	const {server, log} = createListener();
	await listenWhenFree(server, {
		ip: IP, port: 0, waitMs: WAIT_MS, log,
	});
	const startedAt = performance.now();
	await expect(listenWhenFree(createServer(), {
		ip: '192.0.2.1', port: 0, waitMs: WAIT_MS, log,
	})).rejects.toThrow('192.0.2.1:0');
	expect(performance.now() - startedAt).toBeLessThan(WAIT_MS);
	expect(log.warn).not.toHaveBeenCalled();
	expect(log.info).not.toHaveBeenCalled();
});
