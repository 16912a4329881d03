/**
Adds processes to a deployment on the loopback interface, each on free ports.
Nothing runs until it is started.
*/
import {allocatePorts} from './allocate-ports.js';
import {buildSettings} from './build-settings.js';
import {createProcessGroup} from './create-process-group.js';
import type {EntryNode} from './entry-node.js';
import type {ManagedProcess} from './managed-process.js';
import type {UpstreamNode} from './upstream-node.js';

type Settings = Readonly<Record<string, unknown>>;

type EntryPlan = {
	readonly name: string;
	readonly dataCentre: string;
	readonly platformAddress: string;
	readonly holdsHistory: boolean;
	readonly settings?: Settings;
};

type UpstreamPlan = {
	readonly id: string;
	readonly kind: 'model' | 'service';
	readonly target: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly tokenDelayMs: number;
	readonly settings?: Settings;
};

/** A line of the platform's list of hosts. */
type ListedHost = Readonly<Record<string, unknown>>;

type Listed = {readonly host: ListedHost};

type DeploymentBuilder = {
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	readonly readLog: (name: string) => string;
	readonly addPlatform: () => Promise<{readonly address: string; readonly process: ManagedProcess}>;
	readonly addEntry: (plan: EntryPlan) => Promise<EntryNode & Listed>;
	readonly addUpstream: (plan: UpstreamPlan) => Promise<UpstreamNode & Listed>;
};

const toAddress = (port: number): string => `http://127.0.0.1:${port}`;

const omitUndefined = (settings: Settings): Settings => Object.fromEntries(Object.entries(settings).filter(([, value]) => value !== undefined));

/** Creates a builder whose settings and logs go into `folder`; `root` is the workspace's folder with the built bundles. */
export const createDeploymentBuilder = (root: string, folder: string): DeploymentBuilder => {
	const group = createProcessGroup(root, folder);

	const addServer = ({id, kind, target, slots, tokenDelayMs}: UpstreamPlan, port: number): ManagedProcess => {
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
		async addUpstream(plan) {
			const {id, kind, target, dataCentre, slots, settings} = plan;
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
				upstream: addServer(plan, port),
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
