/**
Builds the request that goes to an upstream from a dispatch and its grant.
*/
import type {Dispatch, Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunRequest} from './run-request.js';

/** Derives the run id from program and request id, so that retries of a request have the same run id. */
export const buildRunRequest = ({payload, model, operation}: Dispatch, grant: Grant, traceparent = ''): RunRequest => ({
	runId: `${grant.program}.${grant.requestId}`,
	program: grant.program,
	payload,
	model,
	operation,
	maxOutputTokens: grant.maxOutputTokens,
	priority: grant.priority,
	fencingNumber: grant.epoch,
	isIdempotent: grant.idempotent,
	traceparent,
});
