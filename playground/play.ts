/**
Entry point of the playground: starts a small deployment on this machine, runs one
agent program on it, checks the guarantees that the deployment gives and prints
the path of each call.
*/
import path from 'node:path';
import process from 'node:process';
import {startDeployment} from '@siskinhub/standins/cluster/start-deployment.js';
import {runPlayground} from './run-playground.js';

const EXIT_INTERRUPTED = 130;

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

/** Rejects on the first SIGINT or SIGTERM. */
const rejectOnSignal = async () => new Promise<never>((_resolve, reject) => {
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.on(signal, () => {
			process.exitCode = EXIT_INTERRUPTED;
			reject(new Error(`stopped by ${signal}`));
		});
	}
});

const play = async (): Promise<void> => {
	const interrupted = rejectOnSignal();
	// Handles the rejection if a signal arrives before `Promise.race` awaits it.
	void Promise.allSettled([interrupted]);
	print('Starting a platform, two engines, a plain service, their sidecars and two entries …');
	const deployment = await startDeployment({
		root: path.resolve(import.meta.dirname, '../..'),
		entries: 2,
		engines: 2,
		services: 1,
		model: 'repair-agents',
		service: 'booking-core',
		dataCentres: ['delta-a', 'delta-b'],
		entrySettings: {traces: {toLog: true}},
		sidecarSettings: {traces: {toLog: true}},
	});
	try {
		const isMet = await Promise.race([runPlayground(deployment, print), interrupted]);
		process.exitCode ??= isMet ? 0 : 1;
	} finally {
		await deployment.close();
	}
};

try {
	await play();
} catch (error) {
	process.stderr.write(`play: ${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode ??= 1;
}
