/**
Starts one machine of a small deployment: writes its settings file, starts the program
of its role with the command of the deploy file, and starts it again whenever it ends,
as the platform does.
*/
import {spawn} from 'node:child_process';
import {mkdirSync, openSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {readCommand} from './read-command.es6';

const RESTART_DELAY_MS = 300;
const FRONTEND_PORT = 8149;
const READY_PORT = 8141;
const CONTROL_PORT = 8144;
const FIRST_INTERNAL_PORT = 7380;
const LAST_INTERNAL_PORT = 7395;

/** Bounds of the sheet of huenchu-trenza. */
const BOUNDS = {
	seedLagS: 3,
	addressReuseS: 2,
	settleWindowMs: 3000,
	acknowledgeMs: 4000,
	catchUpS: 4.3,
	drainMs: 2000,
	graceS: 8,
	lossSlackMs: 200,
	configurationApplyMs: 2000,
	rollbackSlackMs: 250,
	stretchMaxMs: 5000,
	recoveryS: 12,
	passMs: 120,
	retryAfterS: 0,
	finishDeadlineS: 10,
	settleMs: 1000,
};

const buildSettings = ({role, name, ip, zone, seeds, storeAddress, dataDirectory, memoryMb}) => {
	const isGateway = role === 'gateway';
	return {
		nodeName: name,
		role,
		machineClass: isGateway ? 'frontend' : 'storage',
		serves: isGateway ? ['frontend', 'control_plane'] : ['storage'],
		ipAddress: ip,
		zone,
		region: 'r',
		zones: {[zone]: 'r'},
		listenAddresses: isGateway ? {frontend: `${ip}:${FRONTEND_PORT}`, ready: `${ip}:${READY_PORT}`, controlPlane: `${ip}:${CONTROL_PORT}`} : {},
		internalPortRange: [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
		seedNodes: seeds.map(seed => `${seed}:${CONTROL_PORT}`),
		bootstrap: true,
		countsTowardTolerance: !isGateway,
		limits: {
			cpuShare: 1, cores: 1, memoryMb, fdLimit: 4100, linkMbps: 1000, diskMb: isGateway ? 0 : 340,
		},
		dataDirectory: isGateway ? null : dataDirectory,
		discovery: 'platform',
		entry: 'virtual_ip',
		heartbeatMs: 1200,
		contracts: ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'engine', 'platform'],
		faultTolerance: {machines: 1, zones: 0, regions: 0},
		bounds: BOUNDS,
		platform: {
			address: storeAddress, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, minimumTtlMs: 1000,
		},
	};
};

/** `onEnd` is called with each end of the program that the case did not ask for. */
export const startMachine = ({folder, onEnd, record, ...machine}) => {
	const {name, role, ip} = machine;
	const dataDirectory = path.join(folder, name);
	mkdirSync(dataDirectory);
	const settingsFile = path.join(folder, `${name}.yaml`);
	writeFileSync(settingsFile, JSON.stringify(buildSettings({dataDirectory, ...machine})));
	const log = openSync(path.join(folder, `${name}.log`), 'a');
	const [program, ...words] = readCommand(role);
	let child;
	let isOver = false;
	let isAsked = false;

	const start = () => {
		child = spawn(program, words, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, SISKINHUB_BOOT: settingsFile}, stdio: ['ignore', log, log],
		});
		record(`${name}: process ${child.pid} is started`);
		child.once('exit', (code, signal) => {
			record(`${name}: the process ends with ${signal ?? `exit code ${code}`}`);
			if (!isAsked) {
				onEnd({name, code, signal});
			}

			isAsked = false;
			if (!isOver) {
				setTimeout(() => {
					if (!isOver) {
						start();
					}
				}, RESTART_DELAY_MS);
			}
		});
	};

	start();
	process.once('exit', () => {
		child.kill('SIGKILL');
	});
	return {
		name,
		ip,
		address: `${ip}:${FRONTEND_PORT}`,
		readiness: `http://${ip}:${READY_PORT}/readiness`,
		signal(signal) {
			isAsked ||= signal === 'SIGKILL' || signal === 'SIGTERM';
			record(`${name}: ${signal} is sent`);
			child.kill(signal);
		},
		async stop() {
			isOver = true;
			isAsked = true;
			if (child.exitCode === null && child.signalCode === null) {
				await new Promise(resolve => {
					child.once('exit', resolve);
					child.kill('SIGKILL');
				});
			}
		},
	};
};
