/**
Starts a whole deployment from the built bundles, each process on free ports of
the loopback interface: a stand-in platform, engines and plain services with a
sidecar each, and entries.
*/
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {closeProcesses} from './close-processes.js';
import {createDeploymentBuilder} from './create-deployment-builder.js';
import type {Deployment} from './deployment.js';
import type {DeploymentOptions} from './deployment-options.js';
import {publishHosts} from './publish-hosts.js';
import {stopInOrder} from './stop-in-order.js';

const DEFAULT_SLOTS = 4;
const DEFAULT_TOKEN_DELAY_MS = 5;
/** Enough of a dead process's log to show why it did not start. */
const SHOWN_LOG_CHARACTERS = 500;

const countFrom = (count: number): number[] => Array.from({length: count}, (_, index) => index);

const buildDeployment = async (folder: string, options: DeploymentOptions) => {
	const builder = createDeploymentBuilder(options.root, folder);
	const dataCentreAt = (index: number): string => options.dataCentres[index % options.dataCentres.length] ?? 'centre';
	const platform = await builder.addPlatform();
	const entries = await Promise.all(countFrom(options.entries).map(async index => builder.addEntry({
		name: `entry-${index + 1}`,
		dataCentre: dataCentreAt(index),
		platformAddress: platform.address,
		holdsHistory: true,
		settings: options.entrySettings,
	})));
	const addUpstreams = async (kind: 'model' | 'service', prefix: string, count: number, target: string) => Promise.all(countFrom(count).map(async index => builder.addUpstream({
		id: `${prefix}-${index + 1}`,
		kind,
		target,
		dataCentre: dataCentreAt(index),
		slots: options.slots ?? DEFAULT_SLOTS,
		tokenDelayMs: options.tokenDelayMs ?? DEFAULT_TOKEN_DELAY_MS,
		settings: options.sidecarSettings,
	})));
	const engines = await addUpstreams('model', 'engine', options.engines, options.model);
	const services = await addUpstreams('service', 'service', options.services, options.service);
	return {
		builder, platform, entries, upstreams: [...engines, ...services],
	};
};

/** Resolves when every process accepts connections; rejects, with nothing left running, if one does not start. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-'));
	const {builder, platform, entries, upstreams} = await buildDeployment(folder, options);
	const {processes, readLog} = builder;
	const hosts = [...entries, ...upstreams].map(({host}) => host);
	await platform.process.start();
	await publishHosts(platform.address, hosts);
	await Promise.all(Array.from(processes.values(), async managed => managed.start()));
	const dead = [...processes.values()].filter(managed => !managed.isRunning());
	if (dead.length > 0) {
		const reasons = dead.map(({name}) => `${name}: ${readLog(name).trim().slice(-SHOWN_LOG_CHARACTERS)}`);
		await closeProcesses(processes.values(), folder);
		throw new Error(`did not start:\n${reasons.join('\n')}`);
	}

	return {
		folder,
		platform,
		entries,
		upstreams,
		processes,
		readLog,
		stop: async () => stopInOrder([
			entries.map(({process}) => process),
			upstreams.map(({sidecar}) => sidecar),
			[...upstreams.map(({upstream}) => upstream), platform.process],
		]),
		close: async () => closeProcesses(processes.values(), folder),
	};
};
