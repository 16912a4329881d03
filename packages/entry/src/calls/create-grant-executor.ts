/**
Runs granted calls at their sidecars, and retries or refuses a call whose run
ended without an answer. An answer that could not be stored is kept for the next
grant of the same turn, so that the call does not run again after the owner has
changed.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {createRetryBudget} from '@siskinhub/core/decide/create-retry-budget.js';
import {creditFirstAttempt} from '@siskinhub/core/decide/credit-first-attempt.js';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {RetryPolicy} from '@siskinhub/core/decide/retry-policy.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {Fate, type Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {AnswerStore} from './answer-store.js';
import {buildPayload} from './build-payload.js';
import type {CallProgress} from './call-progress.js';
import {describeFailure} from './describe-failure.js';
import {describeRun} from './describe-run.js';
import {followRun} from './follow-run.js';
import type {GrantExecutor} from './grant-executor.js';
import {determineFate} from './determine-fate.js';
import type {OwnerClient} from './owner-client.js';
import {restartAnswer} from './restart-answer.js';
import type {RunResult} from './run-result.js';
import {waitOrRefuse} from './wait-or-refuse.js';

/** An idempotent call is retried with a new grant after its sidecar was unreachable for this time. */
const IDEMPOTENT_MAX_UNREACHABLE_MS = 1000;

const ANSWER_NOT_STORED: Refusal = {
	code: 'unavailable',
	message: 'The answer could not be stored before the deadline; send the same request again to get it.',
	retryAfterMs: 1000,
};

type GrantExecutorOptions = {
	readonly getLink: (address: string) => PeerLink;
	readonly owner: OwnerClient;
	readonly answers: AnswerStore;
	readonly decideRetry: RetryPolicy;
	readonly random: Random;
	readonly tracer: Tracer;
};

type EndedRun = Exclude<RunResult, {kind: 'unsent'}>;

const toRetryFate = (fate: Fate): 'not-run' | 'failed' | 'unknown' => {
	if (fate === Fate.NOT_RUN) {
		return 'not-run';
	}

	return fate === Fate.FAILED ? 'failed' : 'unknown';
};

/** Creates the handler that forwards the chunks of a run to the caller. */
const createTextForwarder = (progress: CallProgress) => (offset: number, text: string) => {
	progress.sentBytes = offset + Buffer.byteLength(text);
	progress.events.onChunk({offset, text});
};

/** Creates the executor of one entry; its retry budget is shared by all calls. */
export const createGrantExecutor = ({getLink, owner, answers, decideRetry, random, tracer}: GrantExecutorOptions): GrantExecutor => {
	let retryBudget = createRetryBudget();

	const runGrant = async (progress: CallProgress, grant: Grant): Promise<RunResult> => {
		const {call, deadlineAt} = progress;
		const {target} = call;
		const history = target.kind === 'model' ? await answers.readHistory(progress, grant) : undefined;
		if (history?.isErr()) {
			return {kind: 'unsent', refusal: history.error};
		}

		const span = tracer.startSpan('entry.run', {traceparent: progress.traceparent, attributes: {upstream: grant.upstream}});
		restartAnswer(progress);
		const remainingMs = Math.max(1, deadlineAt - Date.now());
		const result = await followRun({
			getLink,
			grant: {...grant, startWithinMs: remainingMs},
			payload: buildPayload(call, history?.unwrapOr(undefined)),
			model: target.kind === 'model' ? target.model : '',
			operation: target.kind === 'service' ? target.operation : '',
			input: JSON.stringify(call.input ?? null),
			maxUnreachableMs: call.idempotent ? IDEMPOTENT_MAX_UNREACHABLE_MS : Math.max(IDEMPOTENT_MAX_UNREACHABLE_MS, remainingMs),
			onText: createTextForwarder(progress),
			traceparent: span.traceparent,
		});
		span.end(describeRun(result));
		return result;
	};

	const decideNext = (progress: CallProgress, fate: Fate, retryAfterMs: number) => {
		if (fate === Fate.CANCELLED) {
			return {retry: false, afterMs: 0};
		}

		const decided = decideRetry({
			attempts: progress.attempts,
			fate: toRetryFate(fate),
			idempotent: progress.call.idempotent,
			deadlineMs: progress.deadlineAt - Date.now(),
			...(retryAfterMs > 0 && {retryAfterMs}),
		}, retryBudget, random);
		retryBudget = decided.budget;
		return decided;
	};

	/** Releases a grant that ended without an answer; false if the call is refused instead of retried. */
	const handleFailedRun = async (progress: CallProgress, grant: Grant, result: EndedRun): Promise<boolean> => {
		const {call, events} = progress;
		const fate = determineFate(call, result);
		const done = result.kind === 'done' ? result.done : undefined;
		const reason = result.kind === 'done' ? result.done.reason : result.reason;
		const retryAfterMs = done?.retryAfterMs ?? 0;
		progress.attempts++;
		const {retry, afterMs} = decideNext(progress, fate, retryAfterMs);
		const refusal = await owner.release(progress, {
			grant, fate, isFinal: !retry, done,
		});
		if (retry) {
			await delay(afterMs);
			return true;
		}

		const isFateConfirmed = fate !== Fate.NOT_RUN || refusal === undefined;
		events.onRefused(isFateConfirmed ? describeFailure(fate, call, reason, retryAfterMs) : refusal);
		return false;
	};

	/** True if the answer was not stored and the deadline has not passed. */
	const storeOrWait = async (progress: CallProgress, grant: Grant): Promise<boolean> =>
		!await answers.storeAnswer(progress, grant) && waitOrRefuse(progress, ANSWER_NOT_STORED);

	return {
		creditRetryBudget() {
			retryBudget = creditFirstAttempt(retryBudget);
		},
		async use(progress, grant) {
			const {events, call} = progress;
			if (!progress.accepted) {
				progress.accepted = true;
				events.onAccepted({requestId: call.requestId, turn: call.turn});
			}

			if (progress.finished?.digest === grant.digest) {
				return storeOrWait(progress, grant);
			}

			const result = await runGrant(progress, grant);
			if (result.kind === 'unsent') {
				return waitOrRefuse(progress, result.refusal);
			}

			if (result.kind === 'lost' || result.done.fate !== Fate.UNSPECIFIED) {
				return handleFailedRun(progress, grant, result);
			}

			progress.finished = {text: result.text, done: result.done, digest: grant.digest};
			return storeOrWait(progress, grant);
		},
		async observe(progress, grant) {
			restartAnswer(progress);
			const result = await followRun({
				getLink,
				grant,
				payload: '',
				model: '',
				operation: '',
				input: '',
				observe: true,
				maxUnreachableMs: IDEMPOTENT_MAX_UNREACHABLE_MS,
				onText: createTextForwarder(progress),
				traceparent: progress.traceparent,
			});
			if (result.kind !== 'done' || result.done.fate !== Fate.UNSPECIFIED) {
				return waitOrRefuse(progress, ANSWER_NOT_STORED);
			}

			const call = {...progress.call, turn: grant.turn as TurnNumber, input: JSON.parse(result.done.input) as unknown};
			return storeOrWait({...progress, call, finished: {text: result.text, done: result.done, digest: grant.digest}}, grant);
		},
	};
};
