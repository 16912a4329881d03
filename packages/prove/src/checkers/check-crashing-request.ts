/**
Checks that a request that crashes every upstream it runs on takes down at most
two, and that every other request is served.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import {requestMark} from '../history/request-mark.js';
import type {Violation} from '../history/violation.js';

const MAX_CRASHES = 2;

/** Groups the attempts by turn: a turn is served if any of its requests was answered. */
const groupByTurn = (operations: readonly Operation[]): Map<string, Operation[]> => {
	const turns = new Map<string, Operation[]>();
	for (const operation of operations) {
		const parsed = requestMark.parse(operation.mark ?? '');
		const turn = `${parsed?.alias}.t${parsed?.turn}`;
		if (parsed) {
			turns.set(turn, [...turns.get(turn) ?? [], operation]);
		}
	}

	return turns;
};

/** `isCrashing` recognises every mark under which the crashing request was sent. */
export const checkCrashingRequest = ({operations, executions}: RecordedRun, isCrashing: (mark: string) => boolean): Violation[] => {
	const crashes = executions.filter(({mark, fate}) => isCrashing(mark) && fate === 'lost').toSorted((a, b) => a.startedAt - b.startedAt);
	const third = crashes[MAX_CRASHES];
	const unserved = [...groupByTurn(operations)]
		.filter(([, attempts]) => attempts.every(({mark, outcome}) => !isCrashing(mark ?? '') && outcome?.kind !== 'final'));
	return [
		...third ? [{message: `the crashing request took down ${crashes.length} upstreams`, at: third.startedAt, marks: crashes.map(({mark}) => mark)}] : [],
		...unserved.map(([turn, attempts]) => ({message: `${turn} is innocent and was never served`, at: attempts.at(-1)?.completedAt ?? 0, marks: attempts.map(({mark}) => mark ?? '')})),
	];
};
