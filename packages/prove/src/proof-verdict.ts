/**
The result of one run of a proof.
*/

/** Counts of the run, and the violations that were found. */
export type ProofVerdict = {
	readonly point: string;
	readonly seed: number;
	readonly operations: number;
	/** Number of runs that upstreams recorded. */
	readonly executions: number;
	readonly faults: number;
	/** Number of operations by kind and outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly violations: readonly string[];
	/** The part of the history that the first violation concerns. */
	readonly timeline?: string;
	/** Whether the run contained enough of what the point is about. */
	readonly isConclusive: boolean;
	/** Folder with settings, logs and records, if it was kept. */
	readonly logs?: string;
};
