/**
Runs a call at its entry: requests a grant from the owner, runs the call at a
sidecar, stores the turn on the history holders, settles the grant and sends the
final event.

Each step is idempotent under the request id. After a failure the owner is asked
again which step is next, so an entry keeps no state that must survive it.
*/
import type {Result} from 'neverthrow';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {RetryPolicy} from '@siskinhub/core/decide/retry-policy.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {HistoryClient} from '../history/history-client.js';
import type {OwnerRouter} from '../owner/owner-router.js';
import type {CallEvents} from './call-events.js';
import type {CallProgress} from './call-progress.js';
import type {CallRunner} from './call-runner.js';
import {createAnswerStore} from './create-answer-store.js';
import {createCallProgress} from './create-call-progress.js';
import {createGrantExecutor} from './create-grant-executor.js';
import {createOwnerClient} from './create-owner-client.js';
import {forwardRefusal} from './forward-refusal.js';

type RunnerOptions = {
	readonly getProgramShard: (program: ProgramId) => ShardId;
	readonly router: OwnerRouter;
	readonly histories: HistoryClient;
	readonly getLink: (address: string) => PeerLink;
	readonly decideRetry: RetryPolicy;
	readonly random: Random;
	readonly tracer: Tracer;
};

/** Fields that a caller does not repeat when it attaches; the sidecar and the history have them. */
const ATTACH_PLACEHOLDERS = {
	turn: 0 as TurnNumber, idempotent: false, target: {kind: 'model', model: ''}, input: null, maxOutputTokens: 0, after: '',
} as const;

/** Creates the runner of one entry. */
export const createCallRunner = (options: RunnerOptions): CallRunner => {
	const {tracer} = options;
	const owner = createOwnerClient(options);
	const answers = createAnswerStore({...options, owner});
	const grants = createGrantExecutor({...options, owner, answers});
	let open = 0;

	/** Asks the owner, and asks again after each grant that did not end the call. */
	const runUntilEnded = async (
		progress: CallProgress,
		askOwner: (progress: CallProgress) => Promise<Result<MessageBody, Refusal>>,
		useGrant: (progress: CallProgress, grant: Grant) => Promise<boolean>,
	) => {
		for (;;) {
			const answer = await askOwner(progress);
			if (answer.isErr()) {
				progress.events.onRefused(answer.error);
				return;
			}

			const body = answer.value;
			if (body.case === 'grant') {
				if (await useGrant(progress, body.value)) {
					continue;
				}
			} else if (body.case === 'recorded') {
				await answers.sendRecorded(progress, body.value);
			} else {
				forwardRefusal(progress.events, body);
			}

			return;
		}
	};

	/** Counts a call as open while `work` runs. */
	const count = async (work: () => Promise<void>) => {
		open++;
		try {
			await work();
		} finally {
			open--;
		}
	};

	return {
		async run(call, events, traceparent) {
			grants.creditRetryBudget();
			const span = tracer.startSpan('entry.call', {traceparent, attributes: {program: call.program, request: call.requestId}});
			let outcome = 'ok';
			const traced: CallEvents = {
				...events,
				onRefused(refusal) {
					outcome = refusal.code;
					events.onRefused(refusal);
				},
			};
			await count(async () => runUntilEnded(createCallProgress(call, traced, span.traceparent), owner.askGrant, grants.use));
			span.end(outcome);
		},
		async attach(call, events, traceparent) {
			await count(async () => runUntilEnded(createCallProgress({...ATTACH_PLACEHOLDERS, ...call}, events, traceparent), owner.askAttach, grants.observe));
		},
		open: () => open,
	};
};
