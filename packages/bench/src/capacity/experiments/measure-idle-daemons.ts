/**
Measures the memory, processor time and traffic of idle daemons, compared with
the memory of a Node process that does nothing.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createManagedProcess} from '@siskinhub/standins/cluster/create-managed-process.js';
import {createCapacityCluster} from '../cluster/create-capacity-cluster.js';
import type {Series} from '../report/series.js';
import {measureUsage} from '../usage/measure-usage.js';

const SETTLE_MS = 3000;
const IDLE_WINDOW_MS = 5000;
const IDLE_SCRIPT = 'setInterval(() => undefined, 100000)';

/** Returns one series with a single point, since nothing is varied. */
export const measureIdleDaemons = async (root: string): Promise<Series[]> => {
	const cluster = await createCapacityCluster(root);
	const bare = createManagedProcess({
		name: 'bare', args: ['-e', IDLE_SCRIPT], logFile: '/dev/null', isReady: async () => true,
	});
	try {
		const entry = await cluster.builder.addEntry({
			name: 'entry', dataCentre: 'centre-1', platformAddress: cluster.platform.address, holdsHistory: true, settings: {log: {level: 'warn'}},
		});
		const {sidecar, host} = await cluster.builder.addUpstream({
			id: 'engine', kind: 'model', target: 'model', dataCentre: 'centre-1', slots: 8, tokenDelayMs: 1,
		});
		await bare.start();
		await cluster.start([entry.host, host]);
		await sleep(SETTLE_MS);
		const {rates: [bareUsage, entryUsage, sidecarUsage]} = await measureUsage([bare, entry.process, sidecar], async () => sleep(IDLE_WINDOW_MS));
		return [{
			name: 'daemons at rest', xName: 'each', note: 'One entry with 16 shards and a data folder, one sidecar, and Node without any module.', points: [{
				x: 1,
				values: {
					'bare MB': bareUsage!.residentMb,
					'entry MB': entryUsage!.residentMb,
					'sidecar MB': sidecarUsage!.residentMb,
					'entry cpu ms/s': entryUsage!.cpuMsPerS,
					'sidecar cpu ms/s': sidecarUsage!.cpuMsPerS,
					'entry B/s': entryUsage!.readBytesPerS + entryUsage!.writtenBytesPerS,
					'sidecar B/s': sidecarUsage!.readBytesPerS + sidecarUsage!.writtenBytesPerS,
				},
			}],
		}];
	} finally {
		bare.kill();
		await cluster.close();
	}
};
