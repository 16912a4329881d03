/**
The result of one run at a sidecar.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Done} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** `done`: the sidecar sent its final message; `lost`: its final message or a part of the answer did not arrive, so the outcome is unknown; `unsent`: this entry did not send the call. */
export type RunResult =
	| {readonly kind: 'done'; readonly done: Done; readonly text: string}
	| {readonly kind: 'lost'; readonly reason: string}
	| {readonly kind: 'unsent'; readonly refusal: Refusal};
