/**
Applies one fault of a schedule to a cluster.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {ManagedProcess} from '@siskinhub/standins/cluster/managed-process.js';
import type {Recorder} from '../history/recorder.js';
import type {Fault} from '../schedule/fault.js';
import type {Cluster} from './cluster.js';
import {sendJsonRequest} from './send-json-request.js';

const PLATFORM_DELAY_MS = 700;
const LOST_ANSWER_COUNT = 3;
const CUT_AFTER_BYTES = 40;
const SLOW_FACTOR = 8;
const STOP_TIMEOUT_MS = 15_000;

const setPlatformFaults = async (cluster: Cluster, faults: Record<string, unknown>): Promise<void> => {
	await sendJsonRequest('PUT', `${cluster.platform.address}/faults`, {body: faults});
};

/** Skips an upstream that is dead; one that is frozen does not answer. In both cases the fault has no effect. */
const setUpstreamFaults = async (cluster: Cluster, id: string, faults: {readonly model: Record<string, unknown>; readonly service: Record<string, unknown>}): Promise<void> => {
	const node = cluster.upstreams.find(upstream => upstream.id === id);
	if (node?.upstream.isRunning()) {
		await sendJsonRequest('PUT', `${node.address}/faults`, {body: faults[node.kind]});
	}
};

const killAndRestart = async (managed: ManagedProcess | undefined, durationMs: number): Promise<void> => {
	managed?.thaw();
	managed?.kill();
	await sleep(durationMs);
	await managed?.start();
};

const freeze = async (managed: ManagedProcess | undefined, durationMs: number): Promise<void> => {
	managed?.freeze();
	await sleep(durationMs);
	managed?.thaw();
};

const applyFault = async (cluster: Cluster, {kind, target, durationMs}: Fault): Promise<string | undefined> => {
	const managed = cluster.processes.get(target);
	switch (kind) {
		case 'kill': {
			await killAndRestart(managed, durationMs);
			return;
		}

		case 'freeze': {
			await freeze(managed, durationMs);
			return;
		}

		case 'stop': {
			const code = await managed?.stop(STOP_TIMEOUT_MS);
			await managed?.start();
			return `exit code ${code}`;
		}

		case 'silence': {
			return `${cluster.relays.get(target)?.silence() ?? 0} connections`;
		}

		case 'platform-down': {
			await setPlatformFaults(cluster, {down: true});
			await sleep(durationMs);
			await setPlatformFaults(cluster, {down: false});
			return;
		}

		case 'platform-slow': {
			await setPlatformFaults(cluster, {delayMs: PLATFORM_DELAY_MS});
			await sleep(durationMs);
			await setPlatformFaults(cluster, {delayMs: 0});
			return;
		}

		case 'platform-lose-answers': {
			await setPlatformFaults(cluster, {loseAnswers: LOST_ANSWER_COUNT});
			return;
		}

		case 'upstream-cut': {
			await setUpstreamFaults(cluster, target, {model: {cutStreamAt: CUT_AFTER_BYTES}, service: {loseAnswers: 1}});
			await sleep(durationMs);
			await setUpstreamFaults(cluster, target, {model: {cutStreamAt: -1}, service: {}});
			return;
		}

		case 'upstream-slow': {
			await setUpstreamFaults(cluster, target, {model: {slowFactor: SLOW_FACTOR}, service: {delayMs: durationMs}});
			await sleep(durationMs);
			await setUpstreamFaults(cluster, target, {model: {slowFactor: 1}, service: {delayMs: 20}});
		}
	}
};

/** Resolves when the fault is over and the processes that it stopped run again. */
export const injectFault = async (cluster: Cluster, fault: Fault, recorder: Recorder): Promise<void> => {
	recorder.recordFault(fault.kind, fault.target, `for ${fault.durationMs} ms`);
	try {
		const detail = await applyFault(cluster, fault);
		recorder.recordFault(`${fault.kind} over`, fault.target, detail);
	} catch (error) {
		recorder.recordFault(`${fault.kind} had no effect`, fault.target, String(error));
	}
};
