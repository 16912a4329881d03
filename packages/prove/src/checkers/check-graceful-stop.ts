/**
Every planned stop is graceful: it interrupts no request in flight, and the
process exits with 0 in time.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';

/** One planned stop. */
type PlannedStop = {
	readonly process: string;
	readonly signalledAt: number;
	readonly exitedAt?: number;
	readonly exitCode?: number | undefined;
};

const checkExit = ({process, signalledAt, exitedAt, exitCode}: PlannedStop, boundMs: number): Violation[] => {
	if (exitedAt === undefined || exitedAt - signalledAt > boundMs) {
		return [{message: `${process} had not exited ${boundMs} ms after SIGTERM`, at: signalledAt + boundMs}];
	}

	return exitCode === 0 ? [] : [{message: `${process} exited with ${exitCode}`, at: exitedAt}];
};

/** In flight: accepted before the signal and not completed by then. */
const isInFlight = ({kind, acceptedAt, completedAt}: Operation, at: number): boolean =>
	(kind === 'call' || kind === 'attach') && (acceptedAt ?? Infinity) < at && (completedAt ?? Infinity) > at;

const checkInFlight = ({process, signalledAt}: PlannedStop, operations: readonly Operation[]): Violation[] => operations
	.filter(operation => isInFlight(operation, signalledAt) && operation.outcome?.kind !== 'final')
	.map(({id, mark, outcome, completedAt}) => ({
		message: `#${id} ${mark} was in flight when ${process} was told to stop and ended as ${outcome?.kind ?? 'nothing'}`,
		at: completedAt ?? signalledAt,
		marks: [mark ?? ''],
	}));

/** Every operation in flight anywhere counts, because any of them may pass through the process that stops. */
export const checkGracefulStop = ({operations}: RecordedRun, stops: readonly PlannedStop[], boundMs: number): Violation[] =>
	stops.flatMap(stop => [...checkExit(stop, boundMs), ...checkInFlight(stop, operations)]);
