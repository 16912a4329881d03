import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {expect, test} from 'vitest';
import {createMetrics} from '../create-metrics.js';

const PROCESS = {host: 'entry-1', dataCentre: 'delta-a'};

test('metrics reach the StatsD server with their tags', async () => {
	const server = createSocket('udp4');
	server.bind(0, '127.0.0.1');
	await once(server, 'listening');
	const metrics = await createMetrics({...PROCESS, metrics: {statsd: {ip: '127.0.0.1', port: server.address().port}, prefix: 'siskinhub.'}});
	const received = once(server, 'message');
	metrics.increment('calls', 2, {outcome: 'ok'});
	metrics.timing('latency', 12);
	await metrics.close();
	const [datagram] = await received as [Uint8Array];
	server.close();
	const lines = new TextDecoder().decode(datagram).trim().split('\n');
	expect(lines[0]).toMatch(/^siskinhub\.calls:2\|c\|#.*outcome:ok/v);
	expect(lines[0]).toContain('dataCentre:delta-a');
	expect(lines[1]).toMatch(/^siskinhub\.latency:12\|ms/v);
});

test('no method fails if the server is unreachable', async () => {
	const metrics = await createMetrics({...PROCESS, metrics: {statsd: {ip: '127.0.0.1', port: 1}, prefix: ''}});
	metrics.gauge('queue', 1);
	await expect(metrics.close()).resolves.toBeUndefined();
	expect(() => {
		metrics.increment('after-close');
	}).not.toThrow();
});

test('without settings nothing is sent', async () => {
	const metrics = await createMetrics(PROCESS);
	metrics.increment('calls');
	await expect(metrics.close()).resolves.toBeUndefined();
});
