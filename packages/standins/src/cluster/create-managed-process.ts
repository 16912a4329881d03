/**
Starts one process of a deployment and signals it through its own child handle,
so that no other process is hit.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ManagedProcess} from './managed-process.js';

const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;

type ProcessOptions = {
	readonly name: string;
	/** Path of the bundle and its arguments. */
	readonly args: readonly string[];
	readonly logFile: string;
	readonly isReady: () => Promise<boolean>;
	/** Called when a start has finished and after each exit, with whether the process runs. */
	readonly onChange?: (isReady: boolean) => void;
};

/** Creates a process that is not started yet. Its output is appended to `logFile`. */
export const createManagedProcess = ({name, args, logFile, isReady, onChange}: ProcessOptions): ManagedProcess => {
	let child: ChildProcess | undefined;
	let crashes = 0;
	// Processes whose exit `kill` or `stop` asked for; any other exit is a crash.
	const expected = new WeakSet<ChildProcess>();

	const isRunning = (): boolean => child?.exitCode === null && child.signalCode === null;

	const sendSignal = (name: NodeJS.Signals): void => {
		if (child && isRunning()) {
			child.kill(name);
		}
	};

	const launch = (): ChildProcess => {
		const log = openSync(logFile, 'a');
		const launched = spawn(process.execPath, args, {stdio: ['ignore', log, log]});
		closeSync(log);
		launched.on('exit', () => {
			crashes += expected.has(launched) ? 0 : 1;
			onChange?.(false);
		});
		return launched;
	};

	const waitUntilReady = async (): Promise<void> => {
		const deadline = Date.now() + READY_TIMEOUT_MS;
		while (isRunning() && Date.now() < deadline) {
			if (await isReady()) {
				return;
			}

			await sleep(READY_POLL_MS);
		}
	};

	const markExitExpected = (): void => {
		if (child) {
			expected.add(child);
		}
	};

	return {
		name,
		isRunning,
		pid: () => isRunning() ? child?.pid : undefined,
		async start() {
			if (!isRunning()) {
				child = launch();
				await waitUntilReady();
				onChange?.(isRunning());
			}
		},
		kill() {
			markExitExpected();
			sendSignal('SIGKILL');
		},
		freeze() {
			sendSignal('SIGSTOP');
		},
		thaw() {
			sendSignal('SIGCONT');
		},
		async stop(timeoutMs) {
			if (!child || !isRunning()) {
				return child?.exitCode ?? undefined;
			}

			markExitExpected();
			const exiting = once(child, 'exit');
			sendSignal('SIGTERM');
			const exited = await Promise.race([exiting, sleep(timeoutMs, undefined, {ref: false})]);
			if (!exited) {
				sendSignal('SIGKILL');
				await exiting;
			}

			return child.exitCode ?? undefined;
		},
		crashes: () => crashes,
	};
};
