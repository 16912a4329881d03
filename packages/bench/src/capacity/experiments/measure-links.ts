/**
Measures what a link costs an entry and a sidecar while no calls are made. The
peers at the other end of the links are stand-ins in this process.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createHeartbeatTicker} from '@siskinhub/peer/create-heartbeat-ticker.js';
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import {dialPeer} from '@siskinhub/peer/dial-peer.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import {fetchJson} from '../cluster/fetch-json.js';
import {waitUntil} from '../cluster/wait-until.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const LINK_COUNTS = [1, 25, 100, 300];
const HEARTBEAT_INTERVAL_MS = 1000;
const SILENCE_MS = 4000;
const SETTLE_MS = 1500;
const IDLE_WINDOW_MS = 3500;
const SLOTS = 8;
const DATA_CENTRE = 'centre-1';

const createLinkSettings = (host: string, role: Role) => ({
	hello: {
		host, instance: host, role, dataCentre: DATA_CENTRE,
	},
	heartbeatTicker: createHeartbeatTicker(HEARTBEAT_INTERVAL_MS),
	silenceMs: SILENCE_MS,
	createHeartbeat: () => ({
		tableRevision: 0n, leaving: false, ...(role === Role.SIDECAR && {load: {slots: SLOTS, upstreamUp: true}}),
	}),
	onMessage() {/* Stand-ins reply to nothing. */},
	pauseDetector: createPauseDetector(SILENCE_MS, () => {/* A pause needs no handling: it shows in the measured values. */}),
});

const startSidecars = async (count: number) => Promise.all(Array.from({length: count}, async (_, index) => {
	const id = `sidecar-${index}`;
	const server = await createPeerServer({ip: '127.0.0.1', port: 0, settings: createLinkSettings(id, Role.SIDECAR)});
	return {
		server,
		host: {
			id, role: 'sidecar', peerAddress: server.address, dataCentre: DATA_CENTRE, state: 'live', upstream: {id: `engine-${index}`, kind: 'model', target: 'model'},
		},
	};
}));

const countLiveUpstreams = async (address: string): Promise<number> => {
	const {upstreams} = await fetchJson(`${address}/v1/upstreams`) as {readonly upstreams: ReadonlyArray<{readonly state: string}>};
	return upstreams.filter(({state}) => state === 'live').length;
};

const measureEntry = async (root: string): Promise<Series> => {
	const points = [];
	for (const links of LINK_COUNTS) {
		const cluster = await createCapacityCluster(root);
		const sidecars = await startSidecars(links);
		try {
			const entry = await cluster.builder.addEntry({
				name: 'entry', dataCentre: DATA_CENTRE, platformAddress: cluster.platform.address, holdsHistory: true, settings: {shards: 1, log: {level: 'warn'}},
			});
			await cluster.start([entry.host, ...sidecars.map(({host}) => host)]);
			await waitUntil('every sidecar is live', async () => await countLiveUpstreams(entry.address) === links);
			await sleep(SETTLE_MS);
			const {rates: [usage]} = await measureUsage([entry.process], async () => sleep(IDLE_WINDOW_MS));
			points.push({x: links, values: {'entry cpu ms/s': usage!.cpuMsPerS, 'entry MB': usage!.residentMb, 'entry B/s': usage!.readBytesPerS + usage!.writtenBytesPerS}});
		} finally {
			await cluster.close();
			await Promise.all(sidecars.map(async ({server}) => server.close()));
		}
	}

	return {
		name: 'sidecars linked to an entry', xName: 'sidecars', note: 'The sidecars are stand-ins in one process; the host list that the entry reads every 2 s is part of its bytes.', points,
	};
};

const measureSidecar = async (root: string): Promise<Series> => {
	const cluster = await createCapacityCluster(root);
	try {
		const {sidecar, host} = await cluster.builder.addUpstream({
			id: 'engine', kind: 'model', target: 'model', dataCentre: DATA_CENTRE, slots: SLOTS, tokenDelayMs: 1,
		});
		await cluster.start([]);
		const dialledLinks = [];
		const points = [];
		for (const links of LINK_COUNTS) {
			while (dialledLinks.length < links) {
				dialledLinks.push(dialPeer(String(host.peerAddress), createLinkSettings(`entry-${dialledLinks.length}`, Role.ENTRY)));
			}

			await sleep(SETTLE_MS);
			const {rates: [usage]} = await measureUsage([sidecar], async () => sleep(IDLE_WINDOW_MS));
			points.push({x: links, values: {'sidecar cpu ms/s': usage!.cpuMsPerS, 'sidecar MB': usage!.residentMb, 'sidecar B/s': usage!.readBytesPerS + usage!.writtenBytesPerS}});
		}

		for (const link of dialledLinks) {
			link.close('measured');
		}

		return {
			name: 'entries linked to a sidecar', xName: 'entries', note: 'The entries are stand-ins in one process.', points,
		};
	} finally {
		await cluster.close();
	}
};

/** Returns one series for each end of a link: over the sidecars of an entry, and over the entries of a sidecar. */
export const measureLinks = async (root: string): Promise<Series[]> => [await measureEntry(root), await measureSidecar(root)];
