/**
Builds what an upstream is asked to run.
*/
import type {Dispatch, Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {RunRequest} from './run-request.js';

/** The run's id names program and request, so that it is the same however often the request comes. */
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
