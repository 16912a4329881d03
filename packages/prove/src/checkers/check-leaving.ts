/**
Checks that a leaving upstream receives no new work after a short delay.
*/
import type {Execution} from '../history/execution.js';
import type {Violation} from '../history/violation.js';

/** `at`: when the upstream was drained; `until`: when it became available again. */
type LeavingPeriod = {readonly upstream: string; readonly at: number; readonly until?: number};

/** New work may still start on an upstream for `boundMs` after it was drained. */
export const checkLeaving = (
	executions: readonly Execution[],
	leavingPeriods: readonly LeavingPeriod[],
	boundMs: number,
): Violation[] => leavingPeriods.flatMap(({upstream, at, until = Infinity}) => executions
	.filter(execution => execution.upstream === upstream && execution.startedAt > at + boundMs && execution.startedAt < until)
	.map(({mark, startedAt}) => ({message: `${upstream} began ${mark} ${startedAt - at} ms after it was leaving`, at: startedAt, marks: [mark]})));
