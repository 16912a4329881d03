/**
Writes down what clients do and which faults were applied.
*/
import type {FaultEvent} from './fault-event.js';
import type {Operation} from './operation.js';

/** An operation that was invoked and can be completed once. */
type OpenOperation = {
	readonly operation: Operation;
	readonly accept: () => void;
	readonly complete: (outcome: NonNullable<Operation['outcome']>) => void;
};

/** Operations and faults in the order they began. */
export type Recorder = {
	readonly operations: readonly Operation[];
	readonly faults: readonly FaultEvent[];
	readonly invoke: (operation: Pick<Operation, 'kind' | 'via'> & Partial<Operation>) => OpenOperation;
	readonly noteFault: (kind: string, target: string, detail?: string) => void;
};

/** Creates an empty record. */
export const createRecorder = (): Recorder => {
	const operations: Operation[] = [];
	const faults: FaultEvent[] = [];
	return {
		operations,
		faults,
		invoke(given) {
			const operation: Operation = {...given, id: operations.length + 1, invokedAt: Date.now()};
			operations.push(operation);
			return {
				operation,
				accept() {
					operation.acceptedAt ??= Date.now();
				},
				complete(outcome) {
					operation.completedAt = Date.now();
					operation.outcome = outcome;
				},
			};
		},
		noteFault(kind, target, detail) {
			faults.push({
				at: Date.now(), kind, target, detail,
			});
		},
	};
};
