/**
The result of stopping a deployment.
*/

/** Tells which processes of a deployment did not stop cleanly. */
export type StopReport = {
	/** Names of the processes that had to be killed or did not exit with code 0. */
	readonly unclean: readonly string[];
};
