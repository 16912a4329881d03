/**
Starts a small deployment on loopback addresses: the stand-in of the store, three
holders and some gateways, each on an address of its own with the same ports.
*/
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startMachine} from './start-machine.es6';
import {startStore} from './start-store.es6';

const HOLDERS = 3;
const OK = 200;
const CHECK_MS = 100;
const START_TIMEOUT_MS = 20_000;
const MIN_BLOCK = 16;
const BLOCKS = 200;

const isReady = async ({readiness}) => {
	try {
		const res = await fetch(readiness);
		await res.arrayBuffer();
		return res.status === OK;
	} catch {
		return false;
	}
};

/** Rejects if the gateways are not ready in time; `prepareStore` writes the configuration. */
export const startDeployment = async ({gateways, record, onEnd, prepareStore, memoryMb = 200}) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'siskinhub-review-'));
	const block = `127.${MIN_BLOCK + Math.floor(Math.random() * BLOCKS)}.${1 + Math.floor(Math.random() * BLOCKS)}`;
	let lastByte = 1;
	const nextIp = () => `${block}.${++lastByte}`;
	const store = await startStore(nextIp());
	const names = [
		...Array.from({length: gateways}, (_, index) => ({role: 'gateway', name: `gateway-${index + 1}`, ip: nextIp()})),
		...Array.from({length: HOLDERS}, (_, index) => ({role: 'holder', name: `holder-${index + 1}`, ip: nextIp()})),
	];
	const seeds = names.filter(({role}) => role === 'gateway').map(({ip}) => ip);
	await prepareStore(store, nextIp);
	const machines = names.map(machine => startMachine({
		...machine, zone: 'z1', seeds, storeAddress: store.address, folder, onEnd, record, memoryMb,
	}));
	const fronts = machines.slice(0, gateways);

	const stop = async () => {
		await Promise.all(machines.map(async machine => machine.stop()));
		store.close();
		rmSync(folder, {recursive: true, force: true});
	};

	const waitUntilReady = async machine => {
		for (const until = performance.now() + START_TIMEOUT_MS; !await isReady(machine); await delay(CHECK_MS)) {
			if (performance.now() > until) {
				throw new Error(`${machine.name} is not ready`);
			}
		}
	};

	try {
		await Promise.all(fronts.map(async machine => waitUntilReady(machine)));
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		store, gateways: fronts, holders: machines.slice(gateways), folder, nextIp, waitUntilReady, stop,
	};
};
