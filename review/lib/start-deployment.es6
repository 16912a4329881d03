/**
Starts a small deployment on loopback addresses: three zones with one gateway, one
holder, one model worker and one plain worker each, and the platform's store.
*/
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createMachine} from './create-machine.es6';
import {createStore} from './create-store.es6';
import {createWorker} from './create-worker.es6';
import {readCommands} from './read-commands.es6';
import {reserveNetwork} from './reserve-network.es6';

const ZONES = ['planta-norte', 'planta-sur', 'oficina-puerto'];
const REGION = 'biobio';
const HEARTBEAT_MS = 1200;
const STORE_PORT = 8142;
const WORKER_PORT = 8080;
const READY_CHECK_MS = 100;
/** How often the platform asks each gateway whether it is ready. */
const READINESS_MS = 1000;
const READY_TIMEOUT_MS = 15_000;
const FIRST_CHANGE_MS = 300;

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

const isOk = async address => {
	try {
		const res = await fetch(`http://${address}/readiness`, {signal: AbortSignal.timeout(FIRST_CHANGE_MS)});
		return res.status === 200;
	} catch {
		return false;
	}
};

/** `config` is the operator's configuration. `plan` and `onRun` are passed to the workers. Rejects if the gateways are not ready in time. */
export const startDeployment = async ({root, config, plan, onRun, log, faultTolerance = {machines: 1, zones: 0, regions: 0}}) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-review-'));
	const nextAddress = await reserveNetwork();
	const commands = readCommands(root);
	const store = await createStore({ip: nextAddress(), port: STORE_PORT});
	store.write('op/config', config);
	const workers = [];
	for (const zone of ZONES) {
		for (const [service, servicePlan] of [['modelos', plan], ['pedidos', undefined]]) {
			workers.push(await createWorker({
				id: `i-${service}-${zone}`, service, zone, ip: nextAddress(), port: WORKER_PORT, plan: servicePlan, onRun,
			}));
		}
	}

	const beat = () => {
		for (const worker of workers) {
			store.write(`servers/${worker.id}`, worker.beat());
		}
	};

	beat();
	const heartbeats = setInterval(beat, HEARTBEAT_MS);
	const places = [['frontend', 'gateway'], ['storage', 'holder']].flatMap(([machineClass, role]) => ZONES.map(zone => ({
		machineClass, role, zone, ip: nextAddress(),
	})));
	const seedNodes = places.filter(({role}) => role === 'gateway').map(({ip}) => `${ip}:8144`);
	const machines = places.map(({machineClass, role, zone, ip}) => {
		const nodeName = `${machineClass}-${zone}-1`;
		const isStorage = machineClass === 'storage';
		return createMachine({
			root, folder, log, command: commands[role], settings: {
				nodeName,
				role,
				machineClass,
				serves: isStorage ? ['storage'] : ['frontend', 'control_plane'],
				ipAddress: ip,
				zone,
				region: REGION,
				zones: Object.fromEntries(ZONES.map(each => [each, REGION])),
				listenAddresses: isStorage ? {} : {frontend: `${ip}:8149`, ready: `${ip}:8141`, controlPlane: `${ip}:8144`},
				internalPortRange: [7380, 7395],
				seedNodes,
				countsTowardTolerance: isStorage,
				limits: isStorage
					? {
						cpuShare: 0.675, cores: 2, memoryMb: 210, fdLimit: 8200, linkMbps: 600, diskMb: 340,
					}
					: {
						cpuShare: 0.513, cores: 1, memoryMb: 200, fdLimit: 4100, linkMbps: 1000, diskMb: 0,
					},
				dataDirectory: isStorage ? path.join(folder, nodeName) : null,
				discovery: 'platform',
				entry: 'virtual_ip',
				heartbeatMs: HEARTBEAT_MS,
				contracts: ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'engine', 'platform'],
				faultTolerance,
				bounds: BOUNDS,
				platform: {
					address: store.address, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, minimumTtlMs: 1000,
				},
			},
		});
	});

	const gateways = machines.filter(({settings}) => settings.machineClass === 'frontend');
	const holders = machines.filter(({settings}) => settings.machineClass === 'storage');
	const readiness = setInterval(async () => {
		await Promise.all(gateways.map(async ({settings}) => isOk(settings.listenAddresses.ready)));
	}, READINESS_MS);

	const stop = async () => {
		await Promise.all(machines.map(async machine => machine.send('SIGKILL')));
		clearInterval(heartbeats);
		clearInterval(readiness);
		for (const worker of workers) {
			worker.close();
		}

		store.close();
		rmSync(folder, {recursive: true, force: true});
	};

	for (const machine of machines) {
		machine.start();
	}

	const waitUntil = async isDone => {
		const endsAt = performance.now() + READY_TIMEOUT_MS;
		while (!await isDone()) {
			if (performance.now() > endsAt) {
				await stop();
				throw new Error('the deployment did not become ready');
			}

			await delay(READY_CHECK_MS);
		}
	};

	const areReady = async () => {
		const answers = await Promise.all(gateways.map(async ({settings}) => isOk(settings.listenAddresses.ready)));
		return answers.every(Boolean);
	};

	// Gateways count as ready at once after their start, so the holders' entries are awaited too.
	await waitUntil(() => store.list('').some(({key}) => key.startsWith('siskinhub/groups/')));
	await waitUntil(areReady);
	log('the deployment is ready');

	return {
		store, gateways, holders, workers, stop,
	};
};
