/**
Interface of the scheduler of one upstream.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {Dispatch, LoadSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunObserver} from './run-observer.js';

/** Admits, orders, runs and cancels calls. */
export type RunScheduler = {
	/** Queues the call, attaches the observer to a known one, or tells the observer immediately why neither is possible. */
	readonly submit: (dispatch: Dispatch, observer: RunObserver, traceparent: string) => void;
	/** Removes an observer. A queued call without observers is dropped, and its grant is refused from then on. */
	readonly detach: (claim: ClaimId, observer: RunObserver) => void;
	/** Drops a queued call or cancels a running one. */
	readonly cancel: (claim: ClaimId) => void;
	/** Drops the answers kept for a program whose prefix was released. */
	readonly forgetProgram: (program: ProgramId) => void;
	/** Drops expired answers and cancels idempotent runs that have had no observers for a while. */
	readonly sweep: () => void;
	/** Refuses new calls from now on. Queued and running calls finish. */
	readonly stopAccepting: () => void;
	readonly isAccepting: () => boolean;
	/** Refuses queued calls whose deadline has passed. */
	readonly dropExpired: () => void;
	/** Refuses calls that have not started, for example after a pause of the process. */
	readonly dropQueued: (reason: string) => void;
	/** Returns the number of queued and running calls. */
	readonly openRuns: () => number;
	readonly describeLoad: () => MessageInitShape<typeof LoadSchema>;
	/** Returns the programs with a queued or running call. */
	readonly activePrograms: () => ReadonlySet<string>;
	/** Registers a listener that is called after runs start or end and after queued calls are refused. */
	readonly onChange: (listener: () => void) => void;
};
