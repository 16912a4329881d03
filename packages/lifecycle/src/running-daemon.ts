/**
A daemon that has started.
*/

export type RunningDaemon = {
	/** Is called once. Resolves to the exit code of the process, at the latest after about `withinMs` milliseconds. */
	readonly stop: (withinMs: number) => Promise<number>;
	/** Counts the requests in flight, for the log. */
	readonly countActive?: () => number;
};
