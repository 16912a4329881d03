/**
Starts a whole deployment from the built bundles, each process on free ports of
the loopback interface: a stand-in platform, engines and plain services with a
sidecar each, and entries.
*/
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {allocatePorts} from './allocate-ports.js';
import {buildSettings} from './build-settings.js';
import {createProcessGroup} from './create-process-group.js';
import type {Deployment} from './deployment.js';
import type {DeploymentOptions} from './deployment-options.js';
import {stopInOrder} from './stop-in-order.js';

const DEFAULT_SLOTS = 4;
const DEFAULT_TOKEN_DELAY_MS = 5;
const KILL_TIMEOUT_MS = 500;

type ProcessGroup = ReturnType<typeof createProcessGroup>;
type Place = {readonly group: ProcessGroup; readonly folder: string; readonly index: number; readonly options: DeploymentOptions};

const toAddress = (port: number): string => `http://127.0.0.1:${port}`;

const dataCentreAt = ({dataCentres}: DeploymentOptions, index: number): string => dataCentres[index % dataCentres.length] ?? 'centre';

const addEntry = async ({group, folder, index, options}: Place, platformAddress: string) => {
	const name = `entry-${index + 1}`;
	const dataCentre = dataCentreAt(options, index);
	const [httpPort, peerPort] = await allocatePorts(2) as [number, number];
	const settings = group.writeSettings(name, {
		...buildSettings.entry({
			host: name, dataCentre, httpPort, peerPort, platformAddress, folder,
		}),
		...options.entrySettings,
	});
	const process = group.add({
		name, bundle: 'entry', args: ['--settings', settings], port: httpPort,
	});
	const host = {
		id: name, role: 'entry', peerAddress: toAddress(peerPort), dataCentre, state: 'live', holdsHistory: true,
	};
	return {
		name, dataCentre, address: toAddress(httpPort), process, host,
	};
};

const addUpstreamServer = ({group, options}: Place, id: string, kind: 'model' | 'service', port: number) => {
	const args = ['--port', String(port), '--name', id];
	const engineArgs = [
		...args,
		'--model',
		options.model,
		'--slots',
		String(options.slots ?? DEFAULT_SLOTS),
		'--token-delay-ms',
		String(options.tokenDelayMs ?? DEFAULT_TOKEN_DELAY_MS),
	];
	return kind === 'model'
		? group.add({
			name: id, bundle: 'engine', args: engineArgs, port,
		})
		: group.add({
			name: id, bundle: 'service', args, port,
		});
};

const addUpstream = async (place: Place) => {
	const {group, index, options} = place;
	const kind = index < options.engines ? 'model' as const : 'service' as const;
	const id = kind === 'model' ? `engine-${index + 1}` : `service-${index - options.engines + 1}`;
	const target = kind === 'model' ? options.model : options.service;
	const dataCentre = dataCentreAt(options, index);
	const [port, peerPort] = await allocatePorts(2) as [number, number];
	const sidecarName = `sidecar-of-${id}`;
	const settings = group.writeSettings(sidecarName, {
		...buildSettings.sidecar({
			host: sidecarName,
			dataCentre,
			peerPort,
			upstream: {
				id, kind, target, address: toAddress(port), slots: options.slots ?? DEFAULT_SLOTS,
			},
		}),
		...options.sidecarSettings,
	});
	const host = {
		id: sidecarName, role: 'sidecar', peerAddress: toAddress(peerPort), dataCentre, state: 'live', upstream: {id, kind, target},
	};
	return {
		id,
		kind,
		target,
		address: toAddress(port),
		upstream: addUpstreamServer(place, id, kind, port),
		sidecar: group.add({
			name: sidecarName, bundle: 'sidecar', args: ['--settings', settings], port: peerPort,
		}),
		host,
	};
};

const buildDeployment = async (folder: string, options: DeploymentOptions): Promise<Deployment> => {
	const group = createProcessGroup(options.root, folder);
	const [platformPort] = await allocatePorts(1) as [number];
	const platformAddress = toAddress(platformPort);
	const platform = {
		address: platformAddress,
		process: group.add({
			name: 'platform', bundle: 'platform', args: ['--port', String(platformPort)], port: platformPort,
		}),
	};
	const places = (count: number) => Array.from({length: count}, (_, index) => ({
		group, folder, index, options,
	}));
	const entries = await Promise.all(places(options.entries).map(async place => addEntry(place, platformAddress)));
	const upstreams = await Promise.all(places(options.engines + options.services).map(async place => addUpstream(place)));
	return {
		folder,
		platform,
		entries,
		upstreams,
		processes: group.processes,
		hosts: [...entries, ...upstreams].map(({host}) => host),
		async publishHosts(hosts) {
			await fetch(`${platformAddress}/hosts`, {method: 'PUT', body: JSON.stringify(hosts)});
		},
		readLog: group.readLog,
		stop: async () => stopInOrder([
			entries.map(({process}) => process),
			upstreams.map(({sidecar}) => sidecar),
			[...upstreams.map(({upstream}) => upstream), platform.process],
		]),
		async close() {
			for (const managed of group.processes.values()) {
				managed.thaw();
				managed.kill();
			}

			await Promise.all(Array.from(group.processes.values(), async managed => managed.stop(KILL_TIMEOUT_MS)));
			rmSync(folder, {recursive: true, force: true});
		},
	};
};

/** Resolves when every process accepts connections; rejects, with nothing left running, if one does not start. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-'));
	const deployment = await buildDeployment(folder, options);
	await deployment.platform.process.start();
	await deployment.publishHosts(deployment.hosts);
	await Promise.all(Array.from(deployment.processes.values(), async managed => managed.start()));
	const dead = [...deployment.processes.values()].filter(managed => !managed.isRunning());
	if (dead.length > 0) {
		const reasons = dead.map(({name}) => `${name}: ${deployment.readLog(name).trim().slice(-500)}`);
		await deployment.close();
		throw new Error(`did not start:\n${reasons.join('\n')}`);
	}

	return deployment;
};
