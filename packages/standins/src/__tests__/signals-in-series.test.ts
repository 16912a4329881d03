/**
A control signal may come again and beside any other. Runs the built bundles.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import type {Deployment} from '../cluster/deployment.js';
import type {ManagedProcess} from '../cluster/managed-process.js';
import {startDeployment} from '../cluster/start-deployment.js';

const SIGNAL_GAP_MS = 100;
const STOP_WITHIN_MS = 15_000;

let deployment: Deployment | undefined;
afterEach(async () => {
	await deployment?.close();
	deployment = undefined;
});

/** Sends each signal and waits a moment; signals to a process that has ended are left out. */
const sendSignals = async (managed: ManagedProcess, signals: readonly NodeJS.Signals[]): Promise<void> => {
	for (const signal of signals) {
		const pid = managed.pid();
		if (pid !== undefined) {
			process.kill(pid, signal);
		}

		await delay(SIGNAL_GAP_MS);
	}
};

// Guards against LOST: a second SIGTERM, SIGINT or SIGHUP took its default action and cut a planned stop short.
it('entry and sidecar stop as planned, with exit code 0, whatever signals follow the first SIGTERM', async () => {
	deployment = await startDeployment({
		root: process.cwd(), entries: 1, engines: 1, services: 0, model: 'm', service: 's', dataCentres: ['north'],
	});
	for (const managed of [deployment.entries[0]!.process, deployment.upstreams[0]!.sidecar]) {
		await sendSignals(managed, ['SIGHUP']);
		expect(managed.isRunning(), managed.name).toBe(true);
		const stopped = managed.stop(STOP_WITHIN_MS);
		await sendSignals(managed, ['SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM']);
		expect(await stopped, managed.name).toBe(0);
	}
});
