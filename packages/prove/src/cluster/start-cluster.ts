/**
Starts the processes of a proof from the built bundles: a platform stand-in,
engines and plain services with a sidecar each, and entries. Connections to them
go through relays, so that open connections can go silent.
*/
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {allocatePorts} from '@siskinhub/standins/cluster/allocate-ports.js';
import {createProcessGroup} from '@siskinhub/standins/cluster/create-process-group.js';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import type {Cluster} from './cluster.js';
import type {ClusterOptions} from './cluster-options.js';
import type {TcpRelay} from './tcp-relay.js';
import {createTcpRelay} from './create-tcp-relay.js';
import {sendJsonRequest} from './send-json-request.js';
import {writeSettings} from './write-settings.js';

const DATA_CENTRES = ['centre-1', 'centre-2', 'centre-3'] as const;
// Two listeners and three relays.
const MAX_PORTS_PER_NODE = 5;
const STOP_TIMEOUT_MS = 500;

type Bundle = Parameters<ReturnType<typeof createProcessGroup>['add']>[0]['bundle'];

const getDataCentre = (index: number): string => DATA_CENTRES[index % DATA_CENTRES.length]!;

/** Creates processes, whose files are under one folder, and relays; `ports` are the free ports to use. */
const createNodeBuilder = (folder: string, root: string, ports: number[]) => {
	const group = createProcessGroup(root, folder);
	const relays = new Map<string, TcpRelay>();
	return {
		processes: group.processes,
		relays,
		/** The named relays refuse connections while the process does not run. */
		addProcess(name: string, bundle: Bundle, args: readonly string[], port: number, relayNames: readonly string[] = []): ManagedProcess {
			const onChange = (isReady: boolean) => {
				for (const relayName of relayNames) {
					const relay = relays.get(relayName);
					if (isReady) {
						relay?.accept();
					} else {
						relay?.refuse();
					}
				}
			};

			return group.add({
				name, bundle, args, port, onChange,
			});
		},
		takePort: (): number => ports.pop()!,
		/** Resolves with the port of a new relay that forwards to `port`. */
		async addRelay(name: string, port: number): Promise<number> {
			const relay = await createTcpRelay(ports.pop()!, port);
			relays.set(name, relay);
			return relay.port;
		},
	};
};

type NodeBuilder = ReturnType<typeof createNodeBuilder>;

const addEntry = async (builder: NodeBuilder, folder: string, index: number, platformPort: number) => {
	const name = `entry-${index + 1}`;
	const httpPort = builder.takePort();
	const peerPort = builder.takePort();
	const advertised = await builder.addRelay(`${name}/peer`, peerPort);
	const file = writeSettings.entry(folder, {
		name,
		dataCentre: getDataCentre(index),
		httpPort,
		peer: {listen: peerPort, advertised},
		platformPort: await builder.addRelay(`${name}/platform`, platformPort),
	});
	const host: PlatformHost = {
		id: name, role: 'entry', peerAddress: `http://127.0.0.1:${advertised}`, dataCentre: getDataCentre(index), state: 'live', holdsHistory: true,
	};
	const httpRelayPort = await builder.addRelay(`${name}/http`, httpPort);
	return {
		host, name, address: `http://127.0.0.1:${httpRelayPort}`, process: builder.addProcess(name, 'entry', ['--settings', file], httpPort, [`${name}/http`, `${name}/peer`]),
	};
};

const addUpstream = async (builder: NodeBuilder, folder: string, index: number, options: ClusterOptions) => {
	const kind = index < options.engines ? 'model' as const : 'service' as const;
	const id = kind === 'model' ? `engine-${index + 1}` : `service-${index - options.engines + 1}`;
	const target = kind === 'model' ? 'modelos-trenza' : 'booking-core';
	const port = builder.takePort();
	const peerPort = builder.takePort();
	const records = path.join(folder, `${id}-records.jsonl`);
	const common = ['--port', String(port), '--name', id, '--records', records, ...options.crashOn === undefined ? [] : ['--crash-on', options.crashOn]];
	const slots = options.slots ?? 4;
	// Every second engine checks fencing numbers, as some of the platform's engines do.
	const checksFencingNumbers = kind === 'model' && index % 2 === 1;
	const engineArgs = [
		...common, '--slots', String(slots), '--token-delay-ms', String(options.tokenDelayMs ?? 5), '--cache-tokens', '50000', '--vary-answers', ...checksFencingNumbers ? ['--checks-fencing'] : [],
	];
	const upstream = kind === 'model'
		? builder.addProcess(id, 'engine', engineArgs, port, [id])
		: builder.addProcess(id, 'service', [...common, '--delay-ms', '20'], port, [id]);
	const advertised = await builder.addRelay(`${id}/peer`, peerPort);
	const sidecarName = `sidecar-of-${id}`;
	const file = writeSettings.sidecar(folder, {
		name: sidecarName,
		dataCentre: getDataCentre(index),
		peer: {listen: peerPort, advertised},
		upstream: {
			id, kind, target, slots, checksFencingNumbers, port: await builder.addRelay(id, port),
		},
	});
	const host: PlatformHost = {
		id: sidecarName, role: 'sidecar', peerAddress: `http://127.0.0.1:${advertised}`, dataCentre: getDataCentre(index), state: 'live', upstream: {id, kind, target},
	};
	return {
		host, id, kind, target, address: `http://127.0.0.1:${port}`, upstream, sidecar: builder.addProcess(sidecarName, 'sidecar', ['--settings', file], peerPort, [`${id}/peer`]),
	};
};

/** Resolves when every process is ready. `root` is the folder of the repository, which contains the built bundles. */
export const startCluster = async (root: string, options: ClusterOptions): Promise<Cluster> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-prove-'));
	const nodeCount = 1 + options.entries + options.engines + options.services;
	const builder = createNodeBuilder(folder, root, await allocatePorts(nodeCount * MAX_PORTS_PER_NODE));
	const platformPort = builder.takePort();
	const platform = {
		address: `http://127.0.0.1:${platformPort}`,
		process: builder.addProcess('platform', 'platform', ['--port', String(platformPort)], platformPort),
	};
	const entries = await Promise.all(Array.from({length: options.entries}, async (_, index) => addEntry(builder, folder, index, platformPort)));
	const upstreams = await Promise.all(Array.from({length: options.engines + options.services}, async (_, index) => addUpstream(builder, folder, index, options)));
	const hosts = [...entries, ...upstreams].map(({host}) => host);
	const publishHosts: Cluster['publishHosts'] = async (list, lagMs) => {
		await sendJsonRequest('PUT', `${platform.address}/hosts?lagMs=${lagMs}`, {body: list});
	};

	const killAll = () => {
		for (const managed of builder.processes.values()) {
			managed.thaw();
			managed.kill();
		}
	};

	// Leaves no processes behind if the run itself is ended.
	process.once('exit', killAll);
	await platform.process.start();
	await publishHosts(hosts, 0);
	await Promise.all(Array.from(builder.processes.values(), async managed => managed.start()));
	return {
		folder, platform, entries, upstreams, hosts, processes: builder.processes, relays: builder.relays, publishHosts,
		async close(shouldKeepFolder) {
			killAll();
			process.off('exit', killAll);
			await Promise.all(Array.from(builder.processes.values(), async managed => managed.stop(STOP_TIMEOUT_MS)));
			for (const relay of builder.relays.values()) {
				relay.close();
			}

			if (!shouldKeepFolder) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};
