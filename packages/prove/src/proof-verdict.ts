/**
The result of one run of a proof.
*/

/** Counts and, if a promise was broken, what was seen. */
export type ProofVerdict = {
	readonly point: string;
	readonly seed: number;
	readonly operations: number;
	/** Runs that upstreams recorded. */
	readonly executions: number;
	readonly faults: number;
	/** Operations by kind and outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly violations: readonly string[];
	/** The first violating sub-history. */
	readonly timeline?: string;
	/** Whether the run held enough of what the point is about. */
	readonly isConclusive: boolean;
	/** Folder with settings, logs and records of a run that found a violation. */
	readonly logs?: string;
};
