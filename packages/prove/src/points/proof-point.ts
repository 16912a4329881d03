/**
One promise and how it is proved.
*/
import type {ClusterOptions} from '../cluster/cluster-options.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import type {FaultKind} from '../schedule/fault-kind.js';
import type {ProofContext} from './proof-context.js';

/** Targets that a schedule may draw, by kind. */
type FaultTargets = Readonly<Partial<Record<FaultKind, readonly string[]>>>;

/** `drive` runs the clients and resolves when they are done; what it returns is handed to `check`. */
export type ProofPoint<Evidence = unknown> = {
	readonly name: string;
	readonly cluster: ClusterOptions;
	readonly faultsPerSecond: number;
	readonly faultDurationMs: readonly [number, number];
	readonly targets: (context: ProofContext) => FaultTargets;
	readonly drive: (context: ProofContext) => Promise<Evidence>;
	readonly check: (run: RecordedRun, evidence: Evidence) => Violation[];
	/** Whether this run held enough of what the point is about to prove anything. */
	readonly isConclusive: (run: RecordedRun, evidence: Evidence) => boolean;
};
