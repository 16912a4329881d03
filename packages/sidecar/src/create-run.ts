/**
Creates the in-memory record of a call that was dispatched to this sidecar.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {Dispatch, Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Run} from './run.js';

/** Returns a queued run without observers. */
export const createRun = (dispatch: Dispatch, grant: Grant, traceparent: string): Run => {
	const now = Date.now();
	return {
		claim: grant.claim as ClaimId,
		program: grant.program as ProgramId,
		dispatch,
		traceparent,
		queued: {
			row: grant.row as RowKey,
			weight: grant.weight || 1,
			priority: grant.priority,
			queuedAt: now,
			...(grant.startWithinMs > 0 && {startBy: now + grant.startWithinMs}),
			programStartedAt: now - Number(grant.programAgeMs),
			attainedMs: Number(grant.attainedMs),
			startsProgram: grant.startsProgram,
			missingTokens: Number(grant.missingTokens),
		},
		observers: new Set(),
		controller: new AbortController(),
		state: 'queued',
		text: '',
		bytes: 0,
		startedAt: 0,
		endedAt: 0,
		ranAlone: false,
	};
};
