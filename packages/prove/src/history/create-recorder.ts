/**
Creates the in-memory recorder of a run.
*/
import type {FaultEvent} from './fault-event.js';
import type {Operation} from './operation.js';
import type {Recorder} from './recorder.js';

/** Returns an empty recorder that takes its times from the system clock. */
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
		recordFault(kind, target, detail) {
			faults.push({
				at: Date.now(), kind, target, detail,
			});
		},
	};
};
