/**
Measures what messages between processes cost on one open stream, compared with
unary calls.
*/
import process from 'node:process';
import {setImmediate as yieldToLoop} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {dialPeer} from '@siskinhub/peer/dial-peer.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {FrameSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {allocatePorts} from '@siskinhub/standins/cluster/allocate-ports.js';
import {canConnect} from '@siskinhub/standins/cluster/can-connect.js';
import {createManagedProcess} from '@siskinhub/standins/cluster/create-managed-process.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import {runConcurrently} from '../load/run-concurrently.js';
import {createSampleSettings} from '../messages/create-sample-settings.js';
import {SAMPLE_MESSAGES} from '../messages/sample-messages.js';
import {UNARY_SERVICE} from '../messages/unary-service.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const MESSAGE_COUNTS = [500, 1000, 2000, 4000];
const WARM_UP_MESSAGES = 2000;
const MAX_IN_FLIGHT = 64;
const TIMEOUT_MS = 20_000;
const US_PER_MS = 1000;
const MESSAGE_KINDS = ['grantRequest', 'settle', 'heartbeat'] as const;

type MessageKind = typeof MESSAGE_KINDS[number];

const REPLY_NOTES: Readonly<Record<MessageKind, string>> = {
	grantRequest: ' and their grants',
	settle: ' and their acknowledgements',
	heartbeat: ', one way on the stream, acknowledged as unary calls',
};

/** Sends `count` messages and resolves when the server has handled them all. */
type Exchange = (kind: MessageKind, count: number) => Promise<void>;

const createStreamExchange = (link: PeerLink): Exchange => {
	const sendRequest = async (kind: MessageKind) => {
		const reply = await link.request(SAMPLE_MESSAGES[kind], {timeoutMs: TIMEOUT_MS});
		if (reply.isErr()) {
			throw new Error(reply.error.message);
		}
	};

	return async (kind, count) => {
		if (kind !== 'heartbeat') {
			await runConcurrently(count, MAX_IN_FLIGHT, async () => sendRequest(kind));
			return;
		}

		for (let sent = 0; sent < count; sent++) {
			link.send(SAMPLE_MESSAGES.heartbeat);
			// Yields so that each heartbeat is sent in its own frame, as in operation, rather than batched.
			await yieldToLoop();
		}

		await sendRequest('settle');
	};
};

const createUnaryExchange = (address: string): Exchange => {
	const client = createClient(UNARY_SERVICE, createConnectTransport({baseUrl: address, httpVersion: '2'}));
	return async (kind, count) => runConcurrently(count, MAX_IN_FLIGHT, async () => {
		await client.link(create(FrameSchema, {envelopes: [{id: 1, body: SAMPLE_MESSAGES[kind]}]}));
	});
};

/** Measures the processor time of this process, which is the client. */
const measureOwnCpuMs = async (work: () => Promise<void>): Promise<number> => {
	const before = process.cpuUsage();
	await work();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / US_PER_MS;
};

const measureKind = async (kind: MessageKind, exchanges: Readonly<Record<string, Exchange>>, server: ManagedProcess): Promise<Series> => {
	const points = [];
	for (const exchange of Object.values(exchanges)) {
		await exchange(kind, WARM_UP_MESSAGES);
	}

	for (const count of MESSAGE_COUNTS) {
		const values: Record<string, number> = {};
		for (const [transport, exchange] of Object.entries(exchanges)) {
			const {rates: [usage], seconds} = await measureUsage([server], async () => {
				values[`${transport} client ms`] = await measureOwnCpuMs(async () => exchange(kind, count));
			});
			values[`${transport} server ms`] = usage!.cpuMsPerS * seconds;
			values[`${transport} server KB`] = (usage!.readBytesPerS + usage!.writtenBytesPerS) * seconds / 1000;
		}

		points.push({x: count, values});
	}

	return {
		name: `message ${kind}`,
		xName: 'messages',
		note: `Processor time for so many messages${REPLY_NOTES[kind]}; ${MAX_IN_FLIGHT} in flight; client and server are processes of their own.`,
		points,
	};
};

/** Returns one series for each kind of message. */
export const measureMessages = async (): Promise<Series[]> => {
	const [linkPort, unaryPort] = await allocatePorts(2) as [number, number];
	const server = createManagedProcess({
		name: 'messages', args: [process.argv[1] ?? '', '--serve-messages', `${linkPort},${unaryPort}`], logFile: '/dev/null', isReady: async () => canConnect(unaryPort),
	});
	await server.start();
	const link = dialPeer(`http://127.0.0.1:${linkPort}`, createSampleSettings('client'));
	const exchanges = {stream: createStreamExchange(link), unary: createUnaryExchange(`http://127.0.0.1:${unaryPort}`)};
	try {
		const series = [];
		for (const kind of MESSAGE_KINDS) {
			series.push(await measureKind(kind, exchanges, server));
		}

		return series;
	} finally {
		link.close('measured');
		server.kill();
	}
};
