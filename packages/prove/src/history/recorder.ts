/**
Records the operations of clients and the faults that are applied.
*/
import type {FaultEvent} from './fault-event.js';
import type {Operation} from './operation.js';

/** An operation that was invoked and is to be completed once. */
type OpenOperation = {
	readonly operation: Operation;
	readonly accept: () => void;
	readonly complete: (outcome: NonNullable<Operation['outcome']>) => void;
};

/** Keeps operations and faults in the order in which they began. */
export type Recorder = {
	readonly operations: readonly Operation[];
	readonly faults: readonly FaultEvent[];
	readonly invoke: (operation: Pick<Operation, 'kind' | 'via'> & Partial<Operation>) => OpenOperation;
	readonly recordFault: (kind: string, target: string, detail?: string) => void;
};
