import {Buffer} from 'node:buffer';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {createPlatformServer} from '@siskinhub/standins/platform/create-platform-server.js';
import {createPlatformClient} from '../create-platform-client.js';
import {unwrap} from './unwrap.js';

const CALL_TIMEOUT_MS = 300;

let server: Awaited<ReturnType<typeof createPlatformServer>>;
let client: ReturnType<typeof createPlatformClient>;

beforeEach(async () => {
	server = await createPlatformServer({ip: '127.0.0.1', port: 0});
	client = createPlatformClient({address: server.address, callTimeoutMs: CALL_TIMEOUT_MS});
});

afterEach(async () => {
	await client.close();
	await server.close();
});

const toBase64 = (text: string) => Buffer.from(text).toString('base64');

const putFaults = async (faults: Record<string, unknown>) => {
	const res = await fetch(`${server.address}/faults`, {method: 'PUT', body: JSON.stringify(faults)});
	expect(res.status).toBe(200);
};

const fetchStats = async () => {
	const res = await fetch(`${server.address}/stats`);
	return res.json();
};

const put = async (key: string, value: string, expectedVersion: number, lease?: string) => client.put({
	key, value, expectedVersion, ...(lease !== undefined && {lease}),
});

test('compare-and-swap stores a value once and returns the current record on a conflict', async () => {
	expect(await unwrap(put('a/1', 'héllo', 0))).toEqual({kind: 'stored', version: 1});
	expect(await unwrap(put('a/1', 'other', 0))).toEqual({
		kind: 'conflict', current: {key: 'a/1', value: 'héllo', version: 1},
	});
	expect(await unwrap(put('absent', 'x', 3))).toEqual({kind: 'conflict'});
	await put('a0', 'outside the prefix', 0);
	await put('a/2', 'second', 0);
	expect(await unwrap(client.list('a/'))).toMatchObject([{key: 'a/1'}, {key: 'a/2'}]);
	expect(await unwrap(client.get('a/2'))).toMatchObject({value: 'second'});
	expect(await unwrap(client.get('a/3'))).toBeUndefined();
});

test('a call whose response is lost is unavailable although the write took effect', async () => {
	await putFaults({loseAnswers: 1});
	expect(await put('k', 'v', 0)).toMatchObject({error: {kind: 'unavailable'}});
	expect(await unwrap(client.get('k'))).toEqual({key: 'k', value: 'v', version: 1});
});

test.each([{down: true}, {hang: true}, {delayMs: 3 * CALL_TIMEOUT_MS}])('with %j a call ends as unavailable', async fault => {
	await putFaults(fault);
	expect(await client.get('k')).toMatchObject({error: {kind: 'unavailable'}});
	await putFaults({down: false, hang: false, delayMs: 0});
	await unwrap(client.get('k'));
});

test('a value of more than 1 MB is refused by the client and the service', async () => {
	const value = 'x'.repeat(1_000_001);
	expect(await put('k', value, 0)).toMatchObject({error: {kind: 'malformed'}});
	const res = await fetch(`${server.address}/v3/kv/txn`, {
		method: 'POST',
		body: JSON.stringify({
			compare: [{
				key: toBase64('k'), target: 'VERSION', result: 'EQUAL', version: '0',
			}],
			success: [{request_put: {key: toBase64('k'), value: toBase64(value)}}],
		}),
	});
	expect(res.status).toBe(400);
	expect(await unwrap(client.get('k'))).toBeUndefined();
});

test('a lease that is not renewed expires, and its key\'s version keeps increasing', async () => {
	const {lease} = (await unwrap(client.grantLease(1000)));
	await put('leased', 'v', 0, lease);
	expect(await unwrap(client.renewLease(lease))).toEqual({alive: true});
	await expect.poll(async () => unwrap(client.get('leased')), {timeout: 5000}).toBeUndefined();
	expect(await unwrap(client.renewLease(lease))).toEqual({alive: false});
	expect(await unwrap(put('leased', 'w', 0))).toEqual({kind: 'stored', version: 2});
});

test('a watch returns the first change, even one made before the watch started', async () => {
	const waiting = client.watch({prefix: 'a/', after: 0, timeoutMs: 5000});
	await put('b', 'outside', 0);
	await put('a/1', 'v', 0);
	const {revision, changed} = (await unwrap(waiting));
	expect({revision, changed}).toEqual({revision: 2, changed: [{key: 'a/1', value: 'v', version: 1}]});
	await put('a/1', 'w', 1);
	expect(await unwrap(client.watch({prefix: 'a/', after: 2, timeoutMs: 5000}))).toMatchObject({revision: 3});
	expect(await unwrap(client.watch({prefix: 'a/', after: 3, timeoutMs: 100}))).toEqual({revision: 3, changed: []});
});

test('a watch that hangs during an outage ends with its timeout, and the next one misses no change', async () => {
	const waiting = client.watch({prefix: 'a/', after: 0, timeoutMs: 500});
	await expect.poll(fetchStats).toMatchObject({watches: 1});
	await putFaults({down: true});
	await putFaults({down: false});
	await put('a/1', 'v', 0);
	expect(await unwrap(waiting)).toEqual({revision: 0, changed: []});
	expect(await unwrap(client.watch({prefix: 'a/', after: 0, timeoutMs: 500}))).toMatchObject({changed: [{key: 'a/1'}]});
});

test(
	'a change of the list of hosts becomes visible after a lag',
	async () => {
		const hosts = [{
			id: 'entry-1', role: 'entry', peerAddress: 'http://127.0.0.1:1', dataCentre: 'delta-a', state: 'live', holdsHistory: true,
		}];
		await fetch(`${server.address}/hosts?lagMs=100`, {method: 'PUT', body: JSON.stringify(hosts)});
		expect(await unwrap(client.listHosts())).toEqual([]);
		await expect.poll(async () => unwrap(client.listHosts())).toEqual(hosts);
	},
);
