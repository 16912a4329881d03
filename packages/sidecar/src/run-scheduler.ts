/**
The one queue of an upstream.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Dispatch, LoadSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunObserver} from './run-observer.js';

/** Admits, orders, runs and cancels calls. */
export type RunScheduler = {
	/** Runs the call, attaches to it, or tells the observer at once why not. */
	readonly submit: (dispatch: Dispatch, observer: RunObserver, traceparent: string) => void;
	/** Forgets an observer; a call that nobody observes and that has not started is dropped and refused from then on. */
	readonly detach: (claim: ClaimId, observer: RunObserver) => void;
	/** Drops a queued call or cancels a running one. */
	readonly cancel: (claim: ClaimId) => void;
	/** Drops answers kept for a program, because it has moved on or ended. */
	readonly forgetProgram: (program: ProgramId) => void;
	/** Forgets old answers and cancels idempotent runs that nobody follows any more. */
	readonly sweep: () => void;
	/** Refuses new calls from now on; those that are queued or running finish. */
	readonly stopAccepting: () => void;
	readonly isAccepting: () => boolean;
	/** Refuses queued calls whose deadline has passed. */
	readonly dropExpired: () => void;
	/** Drops calls that have not started, for example after a pause of the process. */
	readonly dropQueued: (reason: string) => void;
	readonly openRuns: () => number;
	readonly describeLoad: () => MessageInitShape<typeof LoadSchema>;
	/** Programs with a queued or running call. */
	readonly activePrograms: () => ReadonlySet<string>;
	/** Calls back after each start and end of a run. */
	readonly onChange: (listener: () => void) => void;
};
