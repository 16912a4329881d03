/**
One process of a deployment on the loopback interface.
*/

/** A process that can be started again after it exited. */
export type ManagedProcess = {
	readonly name: string;
	readonly isRunning: () => boolean;
	/** Process id, or `undefined` while the process does not run. */
	readonly pid: () => number | undefined;
	/** Resolves when the process is ready, has exited or is not ready after 15 s; does nothing if the process already runs. */
	readonly start: () => Promise<void>;
	/** Sends SIGKILL. */
	readonly kill: () => void;
	/** Sends SIGSTOP. */
	readonly freeze: () => void;
	/** Sends SIGCONT. */
	readonly thaw: () => void;
	/** Sends SIGTERM, and SIGKILL after `timeoutMs`. Resolves with the exit code, or `undefined` if a signal ended the process. */
	readonly stop: (timeoutMs: number) => Promise<number | undefined>;
	/** Number of exits that followed neither `kill` nor `stop`. */
	readonly crashes: () => number;
};
