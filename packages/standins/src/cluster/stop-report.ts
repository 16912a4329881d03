/**
How a deployment of processes was stopped.
*/

/** How the processes of a deployment ended. */
export type StopReport = {
	/** Names of daemons that did not exit with 0 by themselves. */
	readonly unclean: readonly string[];
};
