/**
Creates the cluster of a measurement, starting with a stand-in for the platform.
*/
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {closeProcesses} from '@siskinhub/standins/cluster/close-processes.js';
import {createDeploymentBuilder} from '@siskinhub/standins/cluster/create-deployment-builder.js';
import {publishHosts} from '@siskinhub/standins/cluster/publish-hosts.js';
import type {CapacityCluster} from './capacity-cluster.js';

/** Resolves when the platform stand-in is running; the caller adds the other processes through `builder`. */
export const createCapacityCluster = async (root: string): Promise<CapacityCluster> => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-capacity-'));
	const builder = createDeploymentBuilder(root, folder);
	const platform = await builder.addPlatform();
	await platform.process.start();
	return {
		builder,
		platform,
		async start(hosts, first = []) {
			await publishHosts(platform.address, hosts);
			await Promise.all(first.map(async managed => managed.start()));
			await Promise.all(Array.from(builder.processes.values(), async managed => managed.start()));
		},
		close: async () => closeProcesses(builder.processes.values(), folder),
	};
};
