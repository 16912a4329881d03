/**
State of one call in a sidecar, from its arrival until its answer is dropped.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {QueuedCall} from '@siskinhub/core/decide/queued-call.js';
import type {Dispatch, DoneSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunObserver} from './run-observer.js';

/** A call with the part of its answer received so far. */
export type Run = {
	readonly claim: ClaimId;
	readonly program: ProgramId;
	readonly dispatch: Dispatch;
	readonly traceparent: string;
	/** The call as the queue policy sees it. */
	readonly queued: QueuedCall;
	readonly observers: Set<RunObserver>;
	readonly controller: AbortController;
	state: 'queued' | 'running' | 'done';
	text: string;
	/** UTF-8 bytes of `text`. */
	bytes: number;
	/** Time of the start, in milliseconds since the Unix epoch; 0 until then. */
	startedAt: number;
	/** Time of the end, in milliseconds since the Unix epoch; 0 until then. */
	endedAt: number;
	/** Whether the call was scheduled to run without other calls beside it. */
	ranAlone: boolean;
	done?: MessageInitShape<typeof DoneSchema>;
	/** Time at which the last observer detached, in milliseconds since the Unix epoch. */
	abandonedAt?: number;
};
