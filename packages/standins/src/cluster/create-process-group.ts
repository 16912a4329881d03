/**
Processes that run from the built bundles, each with its own log file.
*/
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {canConnect} from './can-connect.js';
import {createManagedProcess} from './create-managed-process.js';
import type {ManagedProcess} from './managed-process.js';

const BUNDLES = {
	platform: 'packages/standins/dist/platform-server.js',
	engine: 'packages/standins/dist/engine-server.js',
	service: 'packages/standins/dist/service-server.js',
	entry: 'packages/entry/dist/siskinhub-entry.js',
	sidecar: 'packages/sidecar/dist/siskinhub-sidecar.js',
};

type ProcessPlan = {
	readonly name: string;
	readonly bundle: keyof typeof BUNDLES;
	readonly args: readonly string[];
	/** Port that accepts connections once the process is ready. */
	readonly port: number;
	/** Called once the process is ready, and after each exit. */
	readonly onChange?: (isReady: boolean) => void;
};

type ProcessGroup = {
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	readonly add: (plan: ProcessPlan) => ManagedProcess;
	/** Writes a settings file and returns its path. */
	readonly writeSettings: (name: string, settings: unknown) => string;
	readonly readLog: (name: string) => string;
};

/** Creates an empty group; logs and settings go into `folder`. */
export const createProcessGroup = (root: string, folder: string): ProcessGroup => {
	const processes = new Map<string, ManagedProcess>();
	const logs = path.join(folder, 'logs');
	mkdirSync(logs);
	const logFileOf = (name: string) => path.join(logs, `${name}.log`);
	return {
		processes,
		add({name, bundle, args, port, onChange}) {
			const managed = createManagedProcess({
				name,
				args: [path.join(root, BUNDLES[bundle]), ...args],
				logFile: logFileOf(name),
				isReady: async () => canConnect(port),
				onChange,
			});
			processes.set(name, managed);
			return managed;
		},
		writeSettings(name, settings) {
			const file = path.join(folder, `${name}.yaml`);
			writeFileSync(file, JSON.stringify(settings, undefined, '\t'));
			return file;
		},
		readLog: name => readFileSync(logFileOf(name), 'utf8'),
	};
};
