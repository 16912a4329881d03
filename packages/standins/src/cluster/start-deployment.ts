/**
Starts a whole deployment from the built bundles, each process on free ports of
the loopback interface: a platform stand-in, engines and plain services with a
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
/** Length of the log's end that the error message quotes, enough to show why a process did not start. */
const LOG_EXCERPT_CHARACTERS = 500;

const listIndexes = (count: number): number[] => Array.from({length: count}, (_, index) => index);

const buildDeployment = async (folder: string, options: DeploymentOptions) => {
	const builder = createDeploymentBuilder(options.root, folder);
	const getDataCentre = (index: number): string => options.dataCentres[index % options.dataCentres.length] ?? 'centre';
	const platform = await builder.addPlatform();
	const entries = await Promise.all(listIndexes(options.entries).map(async index => builder.addEntry({
		name: `entry-${index + 1}`,
		dataCentre: getDataCentre(index),
		platformAddress: platform.address,
		holdsHistory: true,
		settings: options.entrySettings,
	})));
	const addUpstreams = async (kind: 'model' | 'service', prefix: string, count: number, target: string) => Promise.all(listIndexes(count).map(async index => builder.addUpstream({
		id: `${prefix}-${index + 1}`,
		kind,
		target,
		dataCentre: getDataCentre(index),
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

/** Resolves when every process accepts connections or its start has timed out. If a process exits meanwhile, kills the others, removes the folder and rejects with the end of the log. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-'));
	const {builder, platform, entries, upstreams} = await buildDeployment(folder, options);
	const {processes, readLog} = builder;
	const hosts = [...entries, ...upstreams].map(({host}) => host);
	await platform.process.start();
	await publishHosts(platform.address, hosts);
	await Promise.all(Array.from(processes.values(), async managed => managed.start()));
	const notStarted = [...processes.values()].filter(managed => !managed.isRunning());
	if (notStarted.length > 0) {
		const logExcerpts = notStarted.map(({name}) => `${name}: ${readLog(name).trim().slice(-LOG_EXCERPT_CHARACTERS)}`);
		await closeProcesses(processes.values(), folder);
		throw new Error(`processes did not start:\n${logExcerpts.join('\n')}`);
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
