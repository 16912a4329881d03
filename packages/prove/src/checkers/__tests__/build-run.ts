/**
Builds recorded runs for the tests of the checkers.
*/
import type {Execution} from '../../history/execution.js';
import type {Operation} from '../../history/operation.js';
import type {RecordedRun} from '../../history/recorded-run.js';

type Outcome = NonNullable<Operation['outcome']>;

/** Builders with short names; times are small numbers of milliseconds. */
export const buildRun = {
	final: (text = 'ab', finish = 'stop'): Outcome => ({
		kind: 'final', text, bytes: text.length, digest: 'd', finish, promptTokens: 1, outputTokens: 1,
	}),
	refused: (code: 'not-run' | 'outcome-unknown'): Outcome => ({kind: 'refused', code, message: ''}),
	call: (mark: string, [invokedAt, completedAt]: readonly [number, number], outcome: Outcome, extra: Partial<Operation> = {}): Operation => ({
		id: invokedAt, kind: 'call', via: 'entry-1', program: 'p1-a', mark, turn: Number(/t(\d+)/v.exec(mark)?.[1]), isIdempotent: false, invokedAt, completedAt, outcome, ...extra,
	}),
	ran: (mark: string, startedAt: number, endedAt: number, extra: Partial<Execution> = {}): Execution => ({
		mark, program: 'p1-a', upstream: 'engine-1', kind: 'model', startedAt, endedAt, fate: 'finished', promptTokens: 1, outputTokens: 1, text: 'ab', ...extra,
	}),
	run: (operations: readonly Operation[], executions: readonly Execution[] = []): RecordedRun => ({operations, executions, faults: []}),
};
