import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';
import {createPauseDetector} from '../create-pause-detector.js';
import {createPeerPool} from '../create-peer-pool.js';
import {createPeerServer} from '../create-peer-server.js';
import type {IncomingMessage} from '../incoming-message.js';
import type {LinkSettings} from '../link-settings.js';

const HEARTBEAT_INTERVAL_MS = 50;
const SILENCE_MS = 400;
const cleanups: Array<() => Promise<void> | void> = [];

afterEach(async () => {
	for (const cleanup of cleanups.splice(0)) {
		await cleanup();
	}
});

const createSettings = (host: string, onMessage: (message: IncomingMessage) => void): LinkSettings => ({
	hello: {host, instance: `${host}-1`, role: Role.ENTRY},
	heartbeatTicker: createHeartbeatTicker(HEARTBEAT_INTERVAL_MS),
	silenceMs: SILENCE_MS,
	createHeartbeat: () => ({tableRevision: 7n}),
	onMessage,
	pauseDetector: createPauseDetector(SILENCE_MS, () => {/* Links close without it. */}),
});

const startPair = async (onMessage: (message: IncomingMessage) => void) => {
	const server = await createPeerServer({ip: '127.0.0.1', port: 0, settings: createSettings('b', onMessage)});
	const pool = createPeerPool(createSettings('a', () => {/* Nothing is sent to the dialling side. */}));
	cleanups.push(() => {
		pool.closeAll('test over');
	}, server.close);
	return {server, pool};
};

test('a request gets its reply, and both sides know the host of the other', async () => {
	const {server, pool} = await startPair(message => {
		message.reply({case: 'refused', value: {code: 'not-run', message: `${message.link.remote()?.host} ${message.body.case}`}});
	});
	const link = pool.get(server.address);
	const reply = await link.request({case: 'getProgram', value: {program: 'p1-a'}}, {timeoutMs: 2000});
	expect(reply._unsafeUnwrap()).toMatchObject({case: 'refused', value: {message: 'a getProgram'}});
	expect(link.remote()?.host).toBe('b');
	expect(pool.get(server.address)).toBe(link);
});

test('the replies of a call arrive in order', async () => {
	const {server, pool} = await startPair(message => {
		for (let index = 0; index < 100; index++) {
			message.reply({case: 'chunk', value: {offset: BigInt(index), text: 'x'}});
		}

		message.reply({case: 'done', value: {}});
	});
	const offsets: bigint[] = [];
	await new Promise<void>(resolve => {
		pool.get(server.address).openCall({case: 'cancelRun', value: {}}, {
			onReply(body) {
				if (body.case === 'chunk') {
					offsets.push(body.value.offset);
				} else {
					resolve();
				}
			},
			onLost() {
				resolve();
			},
		});
	});
	expect(offsets).toEqual(Array.from({length: 100}, (_, index) => BigInt(index)));
});

test('heartbeats keep an idle link open', async () => {
	const {server, pool} = await startPair(() => {/* No message is sent. */});
	const link = pool.get(server.address);
	await delay(SILENCE_MS * 2);
	expect(link.isOpen()).toBe(true);
});

test('a request to an address where nothing listens fails instead of hanging', async () => {
	const pool = createPeerPool(createSettings('a', () => {/* No message is sent. */}));
	const reply = await pool.get('http://127.0.0.1:9').request({case: 'getProgram', value: {}}, {timeoutMs: 5000});
	expect(reply._unsafeUnwrapErr().kind).toBe('lost');
});

// Guards against FAULT at a start: the process before still held the address for peers, and the new one ended.
test('serves links once the process before has given the address free', async () => {
	const settings = createSettings('b', () => {/* Nothing is sent. */});
	const holder = await createPeerServer({ip: '127.0.0.1', port: 0, settings});
	const port = Number(new URL(holder.address).port);
	await expect(createPeerServer({ip: '127.0.0.1', port, settings})).rejects.toThrow(holder.address.slice('http://'.length));
	const serving = createPeerServer({
		ip: '127.0.0.1', port, settings, waitMs: 5000,
	});
	await delay(HEARTBEAT_INTERVAL_MS);
	await holder.close();
	const server = await serving;
	cleanups.push(server.close);
	expect(server.address).toBe(holder.address);
});
