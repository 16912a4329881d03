/**
Checks that every planned stop is graceful: it interrupts no request in flight,
and the process exits with code 0 in time.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';

// A request sent just before the signal may not have reached the process yet.
const RECEIVE_MARGIN_MS = 100;

/** One planned stop; `exitedAt` is absent if the process did not exit. */
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

/** Whether a call, through whichever entry, was accepted before the signal and not completed by then. */
const isInFlight = ({kind, acceptedAt, completedAt}: Operation, at: number): boolean =>
	(kind === 'call' || kind === 'attach') && (acceptedAt ?? Infinity) < at && (completedAt ?? Infinity) > at;

/** Whether the stopping process itself received the request before the signal and had not completed it by then. */
const isReceived = ({via, invokedAt, completedAt}: Operation, {process, signalledAt}: PlannedStop): boolean =>
	via === process && invokedAt + RECEIVE_MARGIN_MS < signalledAt && (completedAt ?? Infinity) > signalledAt;

const checkInFlight = (stop: PlannedStop, operations: readonly Operation[]): Violation[] => operations
	.filter(operation => {
		const {outcome} = operation;
		const isCut = outcome === undefined || outcome.kind === 'cut';
		return (isInFlight(operation, stop.signalledAt) && outcome?.kind !== 'final') || (isReceived(operation, stop) && isCut);
	})
	.map(({id, mark, outcome, completedAt}) => ({
		message: `#${id} ${mark} was in flight when ${stop.process} was told to stop and ended as ${outcome?.kind ?? 'nothing'}`,
		at: completedAt ?? stop.signalledAt,
		marks: [mark ?? ''],
	}));

/** An accepted call must be answered, wherever it runs; any other request to the stopping process must get an answer or a typed refusal. */
export const checkGracefulStop = ({operations}: RecordedRun, stops: readonly PlannedStop[], boundMs: number): Violation[] =>
	stops.flatMap(stop => [...checkExit(stop, boundMs), ...checkInFlight(stop, operations)]);
