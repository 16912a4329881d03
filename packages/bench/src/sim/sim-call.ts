/**
One call of a program in the simulation, from its submission by the caller
through all attempts that the hub makes at it.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {RootState} from './root-state.js';

/** How a call ended for its caller. */
type CallOutcome = 'answered' | 'refused' | 'failed';

export type SimCall = {
	readonly program: ProgramId;
	readonly root: RootState;
	readonly pool: 'models' | 'services';
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** The hub's estimate of `outputTokens`, which it can't know before the call ends. */
	readonly expectedOutputTokens: number;
	/** How long the caller waits for the call to start, in milliseconds from `submittedAt`. */
	readonly startTimeoutMs: number;
	/** Service time of a call to a plain service, in milliseconds; 0 for a model call. */
	readonly workMs: number;
	readonly idempotent: boolean;
	readonly startsProgram: boolean;
	/** Whether the call crashes each engine that runs it. */
	readonly isPoisoned: boolean;
	readonly submittedAt: number;
	readonly done: (outcome: CallOutcome, retryAfterMs?: number) => void;
	/** Crashes that the call was present at, among other calls or alone; kept when the caller repeats the call under another request id. */
	readonly crashes: {shared: number; alone: number};
	attempts: number;
	upstream?: UpstreamId;
};
