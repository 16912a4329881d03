/**
A guarantee of the software, and how a run under faults tests it.
*/
import type {ClusterOptions} from '../cluster/cluster-options.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import type {FaultKind} from '../schedule/fault-kind.js';
import type {ProofContext} from './proof-context.js';

/** The targets that a fault schedule may draw, by kind of fault. */
type FaultTargets = Readonly<Partial<Record<FaultKind, readonly string[]>>>;

/** `drive` runs the clients and resolves when they are done; `check` and `isConclusive` receive its result. */
export type ProofPoint<Evidence = unknown> = {
	readonly name: string;
	readonly cluster: ClusterOptions;
	readonly faultsPerSecond: number;
	/** Shortest and longest duration of a fault. */
	readonly faultDurationMs: readonly [number, number];
	readonly targets: (context: ProofContext) => FaultTargets;
	readonly drive: (context: ProofContext) => Promise<Evidence>;
	readonly check: (run: RecordedRun, evidence: Evidence) => Violation[];
	/** Whether the run contained enough of what the point is about for a result without violations to count. */
	readonly isConclusive: (run: RecordedRun, evidence: Evidence) => boolean;
};
