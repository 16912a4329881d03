/**
Starts and ends one process of a deployment, by its own handle only.
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
	/** Bundle and its arguments. */
	readonly args: readonly string[];
	readonly logFile: string;
	readonly isReady: () => Promise<boolean>;
	/** Called once the process is ready, and after each exit. */
	readonly onChange?: (isReady: boolean) => void;
};

/** Creates a process that is not running yet. Its output is appended to `logFile`. */
export const createManagedProcess = ({name, args, logFile, isReady, onChange}: ProcessOptions): ManagedProcess => {
	let child: ChildProcess | undefined;
	let crashes = 0;
	const expected = new WeakSet<ChildProcess>();

	const isRunning = (): boolean => child?.exitCode === null && child.signalCode === null;

	const signal = (name: NodeJS.Signals): void => {
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
		const giveUpAt = Date.now() + READY_TIMEOUT_MS;
		while (isRunning() && Date.now() < giveUpAt) {
			if (await isReady()) {
				return;
			}

			await sleep(READY_POLL_MS);
		}
	};

	const expectExit = (): void => {
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
			expectExit();
			signal('SIGKILL');
		},
		freeze() {
			signal('SIGSTOP');
		},
		thaw() {
			signal('SIGCONT');
		},
		async stop(timeoutMs) {
			if (!child || !isRunning()) {
				return child?.exitCode ?? undefined;
			}

			expectExit();
			const exiting = once(child, 'exit');
			signal('SIGTERM');
			const exited = await Promise.race([exiting, sleep(timeoutMs, undefined, {ref: false})]);
			if (!exited) {
				signal('SIGKILL');
				await exiting;
			}

			return child.exitCode ?? undefined;
		},
		crashes: () => crashes,
	};
};
