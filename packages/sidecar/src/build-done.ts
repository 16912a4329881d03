/**
Builds the `Done` message that tells the observers of a run how it ended.
*/
import type {MessageInitShape} from '@bufbuild/protobuf';
import {type DoneSchema, Fate, type Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/**
Maps the outcome to a fate. An interrupted run may have had an effect, so its fate
is `FAILED` or `CANCELLED` only if the call is idempotent, otherwise `UNKNOWN`.
*/
export const buildDone = (run: Run, grant: Grant, outcome: RunOutcome): MessageInitShape<typeof DoneSchema> => {
	const slotMs = BigInt(Date.now() - run.startedAt);
	const common = {bytes: BigInt(run.bytes), slotMs, ranAlone: run.ranAlone};
	switch (outcome.kind) {
		case 'finished': {
			return {
				...common, promptTokens: outcome.promptTokens, outputTokens: outcome.outputTokens, finish: outcome.finish,
			};
		}

		case 'not-sent': {
			return {...common, fate: Fate.NOT_RUN, reason: outcome.reason};
		}

		case 'lost': {
			return {
				...common, fate: grant.idempotent ? Fate.FAILED : Fate.UNKNOWN, reason: outcome.reason, upstreamCrashed: outcome.isCrash,
			};
		}

		case 'cancelled': {
			return {...common, fate: grant.idempotent ? Fate.CANCELLED : Fate.UNKNOWN, reason: 'the call was cancelled while it ran'};
		}
	}
};
