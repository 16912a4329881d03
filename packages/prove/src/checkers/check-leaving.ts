/**
An upstream that is leaving receives no new work after a few seconds.
*/
import type {Execution} from '../history/execution.js';
import type {Violation} from '../history/violation.js';

/** When an upstream was told to leave, and when it came back. */
type LeavingPeriod = {readonly upstream: string; readonly at: number; readonly until?: number};

/** New work may still begin for `boundMs` after the departure was announced. */
export const checkLeaving = (
	executions: readonly Execution[],
	leavingPeriods: readonly LeavingPeriod[],
	boundMs: number,
): Violation[] => leavingPeriods.flatMap(({upstream, at, until = Infinity}) => executions
	.filter(execution => execution.upstream === upstream && execution.startedAt > at + boundMs && execution.startedAt < until)
	.map(({mark, startedAt}) => ({message: `${upstream} began ${mark} ${startedAt - at} ms after it was leaving`, at: startedAt, marks: [mark]})));
