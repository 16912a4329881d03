import {existsSync} from 'node:fs';
import {connect, createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {expect, it} from 'vitest';
import {createGatewayMetrics} from '../create-gateway-metrics.js';
import {registerProcessGauges} from '../register-process-gauges.js';

const BUFFER_BYTES = 32 * 1024 * 1024;

const createReader = () => {
	const metrics = createGatewayMetrics();
	registerProcessGauges(metrics);
	return async (name: string): Promise<number> => {
		const value = new RegExp(`^${name} (?<value>.+)$`, 'mv').exec(await metrics.render())?.groups?.value;
		return Number(value);
	};
};

it('tells which memory of the process grows', async () => {
	const read = createReader();
	const before = await read('siskinhub_array_buffer_bytes');
	const buffer = new Uint8Array(BUFFER_BYTES).fill(1);
	expect(await read('siskinhub_array_buffer_bytes') - before).toBeGreaterThanOrEqual(BUFFER_BYTES);
	expect(await read('siskinhub_external_bytes')).toBeGreaterThanOrEqual(BUFFER_BYTES);
	expect(await read('siskinhub_heap_bytes')).toBeGreaterThanOrEqual(await read('siskinhub_heap_used_bytes'));
	expect(await read('siskinhub_resident_bytes')).toBeGreaterThan(buffer.length);
});

it.runIf(existsSync('/proc/self/status'))('tells the peak of the resident memory', async () => {
	const read = createReader();
	// The kernel counts both in batches for each thread, so they may differ by a little.
	expect(await read('siskinhub_resident_peak_bytes')).toBeGreaterThan(await read('siskinhub_resident_bytes') / 2);
});

it('counts the open connections', async () => {
	const read = createReader();
	const before = await read('siskinhub_sockets');
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await Promise.all([once(socket, 'connect'), once(server, 'connection')]);
	expect(await read('siskinhub_sockets')).toBe(before + 2);
	socket.destroy();
	server.close();
});
