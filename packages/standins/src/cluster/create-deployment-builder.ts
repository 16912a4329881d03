/**
Builds a deployment on the loopback interface process by process: allocates
free ports, writes the settings files and creates the processes. The caller
starts them.
*/
import {allocatePorts} from './allocate-ports.js';
import {buildSettings} from './build-settings.js';
import {createProcessGroup} from './create-process-group.js';
import type {EntryNode} from './entry-node.js';
import type {ManagedProcess} from './managed-process.js';
import type {UpstreamNode} from './upstream-node.js';

type Settings = Readonly<Record<string, unknown>>;

type EntryOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly platformAddress: string;
	readonly holdsHistory: boolean;
	readonly settings?: Settings;
};

type UpstreamOptions = {
	readonly id: string;
	readonly kind: 'model' | 'service';
	readonly target: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly tokenDelayMs: number;
	readonly settings?: Settings;
};

/** An item of the platform's list of hosts. */
type HostRecord = Readonly<Record<string, unknown>>;

type WithHostRecord = {readonly host: HostRecord};

type DeploymentBuilder = {
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	readonly readLog: (name: string) => string;
	readonly addPlatform: () => Promise<{readonly address: string; readonly process: ManagedProcess}>;
	readonly addEntry: (options: EntryOptions) => Promise<EntryNode & WithHostRecord>;
	/** Adds an engine or a plain service and its sidecar. */
	readonly addUpstream: (options: UpstreamOptions) => Promise<UpstreamNode & WithHostRecord>;
};

const toAddress = (port: number): string => `http://127.0.0.1:${port}`;

const omitUndefined = (settings: Settings): Settings => Object.fromEntries(Object.entries(settings).filter(([, value]) => value !== undefined));

/** Creates a builder that writes settings and logs into `folder`; `root` is the folder of the workspace with the built bundles. */
export const createDeploymentBuilder = (root: string, folder: string): DeploymentBuilder => {
	const group = createProcessGroup(root, folder);

	const addUpstreamProcess = ({id, kind, target, slots, tokenDelayMs}: UpstreamOptions, port: number): ManagedProcess => {
		const args = ['--port', String(port), '--name', id];
		const engineArgs = ['--model', target, '--slots', String(slots), '--token-delay-ms', String(tokenDelayMs)];
		return group.add({
			name: id, bundle: kind === 'model' ? 'engine' : 'service', args: kind === 'model' ? [...args, ...engineArgs] : args, port,
		});
	};

	return {
		processes: group.processes,
		readLog: group.readLog,
		async addPlatform() {
			const [port] = await allocatePorts(1) as [number];
			return {
				address: toAddress(port),
				process: group.add({
					name: 'platform', bundle: 'platform', args: ['--port', String(port)], port,
				}),
			};
		},
		async addEntry({name, dataCentre, platformAddress, holdsHistory, settings}) {
			const [httpPort, peerPort] = await allocatePorts(2) as [number, number];
			const built = buildSettings.entry({
				host: name, dataCentre, httpPort, peerPort, platformAddress, folder,
			});
			const file = group.writeSettings(name, omitUndefined({...built, ...(!holdsHistory && {dataFolder: undefined}), ...settings}));
			return {
				name,
				dataCentre,
				address: toAddress(httpPort),
				process: group.add({
					name, bundle: 'entry', args: ['--settings', file], port: httpPort,
				}),
				host: {
					id: name, role: 'entry', peerAddress: toAddress(peerPort), dataCentre, state: 'live', holdsHistory,
				},
			};
		},
		async addUpstream(options) {
			const {id, kind, target, dataCentre, slots, settings} = options;
			const [port, peerPort] = await allocatePorts(2) as [number, number];
			const name = `sidecar-of-${id}`;
			const built = buildSettings.sidecar({
				host: name,
				dataCentre,
				peerPort,
				upstream: {
					id, kind, target, address: toAddress(port), slots,
				},
			});
			const file = group.writeSettings(name, {...built, ...settings});
			return {
				id,
				kind,
				target,
				address: toAddress(port),
				upstream: addUpstreamProcess(options, port),
				sidecar: group.add({
					name, bundle: 'sidecar', args: ['--settings', file], port: peerPort,
				}),
				host: {
					id: name, role: 'sidecar', peerAddress: toAddress(peerPort), dataCentre, state: 'live', upstream: {id, kind, target},
				},
			};
		},
	};
};
