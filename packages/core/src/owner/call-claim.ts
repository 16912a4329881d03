/**
A claim: the durable record that one non-idempotent request may run, at most once.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {InstanceId} from '../ids/instance-id.js';
import type {ProgramId} from '../ids/program-id.js';
import type {RequestId} from '../ids/request-id.js';
import type {TurnNumber} from '../ids/turn-number.js';
import type {UpstreamId} from '../ids/upstream-id.js';

/** The shard's log keeps a claim until its turn is stored. */
export type CallClaim = {
	readonly claim: ClaimId;
	readonly program: ProgramId;
	readonly turn: TurnNumber;
	readonly requestId: RequestId;
	readonly upstream: UpstreamId;
	readonly sidecarAddress: string;
	/** Instance of the sidecar that may have run it. After a restart the sidecar has another instance id and no record of the claim. */
	readonly sidecarInstance: InstanceId;
	readonly grantSequence: number;
	readonly epoch: number;
};
