/**
A claim: the durable promise that one non-idempotent request may run once.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {InstanceId} from '../ids/instance-id.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';

/** A claim as the shard's log keeps it until its turn is stored. */
export type CallClaim = {
	readonly claim: ClaimId;
	readonly program: ProgramId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	readonly upstream: UpstreamId;
	readonly sidecarAddress: string;
	/** Lifetime of the sidecar that may have run it; another lifetime remembers nothing of it. */
	readonly sidecarInstance: InstanceId;
	readonly grantSequence: number;
	readonly epoch: number;
};
