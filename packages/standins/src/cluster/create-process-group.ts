/**
Creates the processes of a deployment from the built bundles and keeps them by
name, each with its own log file.
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

type BundleProcessOptions = {
	readonly name: string;
	readonly bundle: keyof typeof BUNDLES;
	readonly args: readonly string[];
	/** Port that accepts connections once the process is ready. */
	readonly port: number;
	/** Called when a start has finished and after each exit, with whether the process runs. */
	readonly onChange?: (isReady: boolean) => void;
};

type ProcessGroup = {
	readonly processes: ReadonlyMap<string, ManagedProcess>;
	/** Adds a process without starting it. */
	readonly add: (options: BundleProcessOptions) => ManagedProcess;
	/** Writes the settings file of the process `name` and returns its path. */
	readonly writeSettings: (name: string, settings: unknown) => string;
	readonly readLog: (name: string) => string;
};

/** Creates an empty group that writes logs and settings into `folder`; `root` is the folder of the workspace with the built bundles. */
export const createProcessGroup = (root: string, folder: string): ProcessGroup => {
	const processes = new Map<string, ManagedProcess>();
	const logFolder = path.join(folder, 'logs');
	mkdirSync(logFolder);
	const getLogFile = (name: string) => path.join(logFolder, `${name}.log`);
	return {
		processes,
		add({name, bundle, args, port, onChange}) {
			const managed = createManagedProcess({
				name,
				args: [path.join(root, BUNDLES[bundle]), ...args],
				logFile: getLogFile(name),
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
		readLog: name => readFileSync(getLogFile(name), 'utf8'),
	};
};
