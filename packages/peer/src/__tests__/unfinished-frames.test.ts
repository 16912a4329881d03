/**
Load: processes that announce large frames on their links and send them without end,
or do not read what they are sent.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {sizeDelimitedEncode} from '@bufbuild/protobuf/wire';
import {FrameSchema, Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {expect, it, onTestFinished} from 'vitest';
import {attachLink} from '../attach-link.js';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';
import {createPauseDetector} from '../create-pause-detector.js';
import type {PeerLink} from '../peer-link.js';

const MEBIBYTE = 1024 * 1024;
const FRAME_BYTES = 30 * MEBIBYTE;
const PEERS = 10;
const UNREAD_MESSAGES = 60;
const SEND_INTERVAL_MS = 20;

const settings = {
	hello: {host: 'a', instance: 'a-1', role: Role.ENTRY},
	heartbeatTicker: createHeartbeatTicker(800),
	silenceMs: 60_000,
	createHeartbeat: () => ({}),
	onMessage() {/* Nothing is asked. */},
	pauseDetector: createPauseDetector(60_000, () => {/* The process is never paused. */}),
};

const startLinks = async () => {
	const links: PeerLink[] = [];
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		links.push(attachLink(socket, settings));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	onTestFinished(() => {
		server.close();
		for (const link of links) {
			link.close('the test is over');
		}
	});
	return {
		links,
		async open(): Promise<Socket> {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			socket.on('error', () => {/* The link may be closed while it sends. */});
			sockets.push(socket);
			await once(socket, 'connect');
			await expect.poll(() => links.length).toBe(sockets.length);
			return socket;
		},
	};
};

/** The size of a frame, as a protobuf number, and nothing of the frame. */
const announce = (size: number): Uint8Array => {
	const bytes: number[] = [];
	for (let rest = size; rest > 0; rest = Math.floor(rest / 128)) {
		bytes.push((rest % 128) + (rest >= 128 ? 128 : 0));
	}

	return Uint8Array.from(bytes);
};

const hello = sizeDelimitedEncode(FrameSchema, create(FrameSchema, {envelopes: [{body: {case: 'hello', value: {host: 'b'}}}]}));

// Guards against a process that runs out of memory because several others send it large frames that never end: one link was bounded, their sum was not.
it('takes bounded memory for the unfinished frames of all links, and keeps the links that hold little', async () => {
	const {links, open} = await startLinks();
	const small = await open();
	small.write(hello.subarray(0, 5));
	const piece = new Uint8Array(MEBIBYTE);
	await Promise.all(Array.from({length: PEERS}, async () => {
		const socket = await open();
		socket.write(announce(FRAME_BYTES));
		for (let sent = 0; sent < FRAME_BYTES - MEBIBYTE && !socket.destroyed; sent += MEBIBYTE) {
			await new Promise(resolve => {
				socket.write(piece, resolve);
			});
		}
	}));
	// One of them fits in, and two do not.
	await expect.poll(() => links.filter(link => link.isOpen()).length).toBeLessThanOrEqual(2);
	small.write(hello.subarray(5));
	await expect.poll(() => links[0]!.remote()?.host).toBe('b');
}, 20_000);

// Guards against a process that runs out of memory because another does not read what it is sent, while its heartbeats keep the link open.
it('closes the link of a process that does not read, before all that waits for it fills the memory', async () => {
	const {links, open} = await startLinks();
	const [frozen, reading] = [await open(), await open()];
	frozen.pause();
	reading.resume();
	for (const socket of [frozen, reading]) {
		socket.write(hello);
	}

	await expect.poll(() => links.every(link => link.remote())).toBe(true);
	const text = 'x'.repeat(MEBIBYTE);
	for (let sent = 0; sent < UNREAD_MESSAGES && links[0]!.isOpen(); sent++) {
		for (const link of links) {
			link.send({case: 'hello', value: {host: text}});
		}

		await delay(SEND_INTERVAL_MS);
	}

	expect(links[0]!.isOpen()).toBe(false);
	expect(links[1]!.isOpen()).toBe(true);
}, 20_000);

it('reads frames however their bytes are cut', async () => {
	const {links, open} = await startLinks();
	const socket = await open();
	for (const byte of Buffer.concat([hello, hello])) {
		await new Promise(resolve => {
			socket.write(Uint8Array.of(byte), resolve);
		});
	}

	await expect.poll(() => links[0]!.remote()?.host).toBe('b');
	expect(links[0]!.isOpen()).toBe(true);
});
