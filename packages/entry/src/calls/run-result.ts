/**
How one attempt at a sidecar ended.
*/
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Done} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** `done`: the sidecar's last word; `lost`: it cannot be reached, so its word is unknown; `unsent`: this entry never sent the call. */
export type RunResult =
	| {readonly kind: 'done'; readonly done: Done; readonly text: string}
	| {readonly kind: 'lost'; readonly reason: string}
	| {readonly kind: 'unsent'; readonly refusal: Refusal};
