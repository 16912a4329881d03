/**
The recorded history of one run of a proof.
*/
import type {Execution} from './execution.js';
import type {FaultEvent} from './fault-event.js';
import type {Operation} from './operation.js';

/** The input of the checkers. */
export type RecordedRun = {
	readonly operations: readonly Operation[];
	readonly executions: readonly Execution[];
	readonly faults: readonly FaultEvent[];
};
