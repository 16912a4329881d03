/**
Writes the settings files of a proof's processes. Leases and heartbeats are short,
so that a run of some seconds spans many of them. The files contain JSON, which is
valid YAML.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';

const LOOPBACK = '127.0.0.1';

const COMMON_SETTINGS = {
	heartbeat: {intervalMs: 200, silenceMs: 800},
	log: {level: 'debug'},
};

type Ports = {readonly listen: number; readonly advertised: number};

const buildPeerSettings = ({listen, advertised}: Ports) => ({
	ip: LOOPBACK, port: listen, advertisedAddress: `http://${LOOPBACK}:${advertised}`,
});

const writeJson = (folder: string, name: string, settings: unknown): string => {
	const file = path.join(folder, `${name}.yaml`);
	writeFileSync(file, JSON.stringify(settings, undefined, '\t'));
	return file;
};

/** Each function writes one file into `folder` and returns its path. */
export const writeSettings = {
	entry: (folder: string, options: {
		readonly name: string;
		readonly dataCentre: string;
		readonly httpPort: number;
		readonly peer: Ports;
		readonly platformPort: number;
	}): string => writeJson(folder, options.name, {
		host: options.name,
		dataCentre: options.dataCentre,
		region: 'region-1',
		http: {ip: LOOPBACK, port: options.httpPort},
		peer: buildPeerSettings(options.peer),
		dataFolder: path.join(folder, `${options.name}-data`),
		platform: {address: `http://${LOOPBACK}:${options.platformPort}`, timeoutMs: 1000},
		shards: 4,
		lease: {ttlMs: 2000, renewEveryMs: 500},
		commitWindowMs: 20,
		gracefulStopMs: 10_000,
		...COMMON_SETTINGS,
	}),
	sidecar(folder: string, options: {
		readonly name: string;
		readonly dataCentre: string;
		readonly peer: Ports;
		readonly upstream: {readonly id: string; readonly kind: 'model' | 'service'; readonly target: string; readonly port: number; readonly slots: number; readonly checksFencingNumbers: boolean};
	}): string {
		const {port, ...upstream} = options.upstream;
		return writeJson(folder, options.name, {
			host: options.name,
			dataCentre: options.dataCentre,
			peer: buildPeerSettings(options.peer),
			upstream: {...upstream, address: `http://${LOOPBACK}:${port}`},
			reconcileIntervalMs: 1000,
			gracefulStopMs: 10_000,
			...COMMON_SETTINGS,
		});
	},
};
