/**
A call in the bench.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {RootState} from './root-state.js';

/** How a call ended for its caller. */
type CallOutcome = 'answered' | 'refused' | 'failed';

/** One call of a program, through all its attempts. */
export type SimCall = {
	readonly program: ProgramId;
	readonly root: RootState;
	readonly pool: 'models' | 'services';
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** What the hub may know of `outputTokens` beforehand. */
	readonly expectedOutputTokens: number;
	/** How long the caller waits, in milliseconds. */
	readonly patienceMs: number;
	/** Service time of a plain service's call. */
	readonly workMs: number;
	readonly idempotent: boolean;
	readonly startsProgram: boolean;
	/** Whether it crashes the upstream that runs it. */
	readonly poisoned: boolean;
	readonly submittedAt: number;
	readonly done: (outcome: CallOutcome, retryAfterMs?: number) => void;
	/** Crashes that it was present at; the record outlives a request id. */
	readonly crashes: {shared: number; alone: number};
	attempts: number;
	upstream?: UpstreamId;
};
