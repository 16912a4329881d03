/**
One process of a deployment on the loopback interface.
*/

/** A program that can be started again after it died. */
export type ManagedProcess = {
	readonly name: string;
	readonly isRunning: () => boolean;
	/** Number of the running process; undefined while it does not run. */
	readonly pid: () => number | undefined;
	/** Resolves when the process is ready; does nothing if it runs. */
	readonly start: () => Promise<void>;
	readonly kill: () => void;
	readonly freeze: () => void;
	readonly thaw: () => void;
	/** Sends SIGTERM and resolves with the exit code, or `undefined` if the process had to be killed after `timeoutMs`. */
	readonly stop: (timeoutMs: number) => Promise<number | undefined>;
	/** Exits that nobody asked for. */
	readonly crashes: () => number;
};
