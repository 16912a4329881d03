/**
A request that crashes every upstream that runs it takes down at most two, and
the innocent requests beside it are served.
*/
import type {RecordedRun} from '../history/recorded-run.js';
import type {Violation} from '../history/violation.js';
import {groupByMark} from './group-by-mark.js';

const MOST_CRASHES = 2;

/** `isCrashing` recognises the marks of the crashing request, under whatever request id it was sent. */
export const checkCrashingRequest = ({operations, executions}: RecordedRun, isCrashing: (mark: string) => boolean): Violation[] => {
	const crashes = executions.filter(({mark, fate}) => isCrashing(mark) && fate === 'lost').toSorted((a, b) => a.startedAt - b.startedAt);
	const third = crashes[MOST_CRASHES];
	const unserved = [...groupByMark(operations.filter(({kind}) => kind === 'call' || kind === 'attach'))]
		.filter(([mark, attempts]) => !isCrashing(mark) && attempts.every(({outcome}) => outcome?.kind !== 'final'));
	return [
		...third ? [{message: `the crashing request took down ${crashes.length} upstreams`, at: third.startedAt, marks: crashes.map(({mark}) => mark)}] : [],
		...unserved.map(([mark, attempts]) => ({message: `${mark} is innocent and was never served`, at: attempts.at(-1)?.completedAt ?? 0, marks: [mark]})),
	];
};
