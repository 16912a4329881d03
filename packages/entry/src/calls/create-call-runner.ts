/**
The life of a call at its entry: a grant from the owner, the run at a sidecar,
the turn on its history holders, the settlement, and the final event.

Each step may be repeated under the same request id. What a step left undone is
found out again from the owner, so an entry keeps nothing that must outlive it.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '@siskinhub/core/decide/random.js';
import type {RetryBudget} from '@siskinhub/core/decide/retry-budget.js';
import type {RetryDecision} from '@siskinhub/core/decide/retry-decision.js';
import {depositAttempt} from '@siskinhub/core/decide/deposit-attempt.js';
import {createRetryBudget} from '@siskinhub/core/decide/create-retry-budget.js';
import {computeDigest} from '@siskinhub/core/history/compute-digest.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {TurnNumber} from '@siskinhub/core/ids/turn-number.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {
	type Done, Fate, type Grant, type HistoryHolder as HolderMessage, type Recorded,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {encodeTurn} from '../history/encode-turn.js';
import type {HistoryClient} from '../history/history-client.js';
import type {OwnerRouter} from '../owner/owner-router.js';
import {buildPayload} from './build-payload.js';
import type {CallEvents} from './call-events.js';
import type {CallRequest} from './call-request.js';
import type {CallRunner} from './call-runner.js';
import {fingerprintCall} from './fingerprint-call.js';
import {describeRun} from './describe-run.js';
import {followRun} from './follow-run.js';
import type {RunResult} from './run-result.js';

/** A repeatable call is moved to another upstream after this time out of reach. */
const IDEMPOTENT_PATIENCE_MS = 1000;
const ASK_AGAIN_PAUSE_MS = 100;
const SETTLE_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1000;

const NOT_STORED: Refusal = {
	code: 'unavailable',
	message: 'The answer could not be stored before the deadline; send the same request again to get it.',
	retryAfterMs: RETRY_AFTER_MS,
};

const NOT_VOUCHED: Refusal = {
	code: 'unavailable',
	message: 'No upstream took the call now, and another try of it may have run; send the same request again.',
	retryAfterMs: RETRY_AFTER_MS,
};

type RunnerOptions = {
	readonly shardOf: (program: ProgramId) => ShardId;
	readonly router: OwnerRouter;
	readonly histories: HistoryClient;
	readonly getLink: (address: string) => PeerLink;
	readonly decideRetry: RetryDecision;
	readonly random: Random;
	readonly tracer: Tracer;
};

type EndedRun = Exclude<RunResult, {kind: 'unsent'}>;

/** What is known of a call between two grants. */
type CallProgress = {
	readonly call: CallRequest;
	readonly events: CallEvents;
	readonly deadlineAt: number;
	readonly traceparent: string;
	attempts: number;
	sentBytes: number;
	accepted: boolean;
	/** An answer that is whole but not yet stored, and the history it follows. */
	finished?: {readonly text: string; readonly done: Done; readonly digest: string};
};

const decodeHolders = (holders: readonly HolderMessage[]): HistoryHolder[] =>
	holders.map(({host, peerAddress, dataFolderId}) => ({host: host as HostId, peerAddress, dataFolderId}));

const buildTurn = ({call}: CallProgress, grant: Grant, text: string, done: Done): TurnRecord => {
	const turn = {
		program: call.program,
		turn: call.turn,
		requestId: call.requestId,
		previous: grant.digest as Digest,
		input: JSON.stringify(call.input ?? null),
		output: text,
		promptTokens: done.promptTokens,
		outputTokens: done.outputTokens,
	};
	return {...turn, digest: computeDigest(turn)};
};

const createProgress = (call: CallRequest, events: CallEvents, traceparent = ''): CallProgress => ({
	call,
	events,
	deadlineAt: Date.now() + call.deadlineMs,
	traceparent,
	attempts: 0,
	sentBytes: 0,
	accepted: false,
});

/** Creates the runner of one entry. */
export const createCallRunner = (options: RunnerOptions): CallRunner => {
	const {router, histories, shardOf, random, tracer} = options;
	let retryBudget: RetryBudget = createRetryBudget();

	const askGrant = async (progress: CallProgress) => {
		const {call} = progress;
		const {target} = call;
		return router.ask(shardOf(call.program), {
			case: 'grantRequest',
			value: {
				program: call.program,
				workspace: call.workspace,
				turn: call.turn,
				requestId: call.requestId,
				idempotent: call.idempotent,
				target: target.kind === 'model' ? target.model : target.service,
				plainService: target.kind === 'service',
				inputBytes: Buffer.byteLength(JSON.stringify(call.input ?? null)),
				maxOutputTokens: call.maxOutputTokens,
				deadlineMs: Math.max(0, progress.deadlineAt - Date.now()),
				after: call.after,
				fingerprint: fingerprintCall(call),
			},
		}, progress.deadlineAt, progress.traceparent);
	};

	/** What was sent so far is sent anew, because it may come from another run. */
	const restart = (progress: CallProgress) => {
		if (progress.sentBytes > 0) {
			progress.events.onRestart();
			progress.sentBytes = 0;
		}
	};

	const sendRecorded = async (progress: CallProgress, recorded: Recorded) => {
		const {call, events} = progress;
		const read = await histories.readLongest(decodeHolders(recorded.holders), call.program);
		const turn = read.isOk() ? read.value?.turns.find(stored => stored.turn === recorded.turn) : undefined;
		if (!turn) {
			events.onRefused(read.isErr() ? read.error : {code: 'unavailable', message: 'The recorded answer could not be read; send the same request again.', retryAfterMs: RETRY_AFTER_MS});
			return;
		}

		restart(progress);
		events.onChunk({offset: 0, text: turn.output});
		events.onFinal({
			requestId: call.requestId,
			turn: turn.turn,
			bytes: Buffer.byteLength(turn.output),
			promptTokens: turn.promptTokens,
			outputTokens: turn.outputTokens,
			finish: 'stop',
			digest: turn.digest,
		});
	};

	/** Reads the history before the call; where every copy is lost, the one that the caller sent takes its place. */
	const readHistory = async ({call, deadlineAt, traceparent}: CallProgress, holders: readonly HistoryHolder[], digest: string) => {
		const read = await histories.readAt(holders, call.program, digest);
		if (read.isOk() || !call.history) {
			return read;
		}

		const {program, workspace, history} = call;
		const restored = await router.ask(shardOf(program), {
			case: 'restoreHistory',
			value: {program, workspace, turns: history.map(turn => encodeTurn(turn))},
		}, deadlineAt, traceparent);
		return restored.isOk() && restored.value.body.case === 'acknowledged'
			? histories.readAt(holders, program, digest)
			: read;
	};

	const runGrant = async (progress: CallProgress, grant: Grant): Promise<RunResult> => {
		const {call, events} = progress;
		const holders = decodeHolders(grant.holders);
		const isModel = call.target.kind === 'model';
		const history = isModel ? await readHistory(progress, holders, grant.digest) : undefined;
		if (history?.isErr()) {
			return {kind: 'unsent', refusal: history.error};
		}

		const span = tracer.startSpan('entry.run', {traceparent: progress.traceparent, attributes: {upstream: grant.upstream}});
		restart(progress);
		const result = await followRun({
			getLink: options.getLink,
			grant: {...grant, startWithinMs: Math.max(1, progress.deadlineAt - Date.now())},
			payload: buildPayload(call, history?.unwrapOr(undefined)),
			model: call.target.kind === 'model' ? call.target.model : '',
			operation: call.target.kind === 'service' ? call.target.operation : '',
			input: JSON.stringify(call.input ?? null),
			patienceMs: call.idempotent ? IDEMPOTENT_PATIENCE_MS : Math.max(IDEMPOTENT_PATIENCE_MS, progress.deadlineAt - Date.now()),
			onText(offset, text) {
				progress.sentBytes = offset + Buffer.byteLength(text);
				events.onChunk({offset, text});
			},
			traceparent: span.traceparent,
		});
		span.end(describeRun(result));
		return result;
	};

	/** Stores the turn and settles; false if the owner changed meanwhile and must be asked again. */
	const finish = async (progress: CallProgress, grant: Grant): Promise<boolean> => {
		const {call, events, finished} = progress;
		if (!finished) {
			return false;
		}

		const {text, done} = finished;
		const turn = buildTurn(progress, grant, text, done);
		const span = tracer.startSpan('entry.store', {traceparent: progress.traceparent});
		const stored = await histories.appendTurn({
			shard: grant.shard as ShardId,
			epoch: Number(grant.epoch) as Epoch,
			holders: decodeHolders(grant.holders),
			traceparent: span.traceparent,
		}, turn);
		span.end(stored.isOk() ? 'ok' : stored.error.code);
		if (stored.isErr()) {
			return false;
		}

		const settled = await router.ask(shardOf(call.program), {
			case: 'settle',
			value: {
				program: call.program,
				requestId: call.requestId,
				claim: grant.claim,
				turn: call.turn,
				digest: turn.digest,
				promptTokens: BigInt(done.promptTokens),
				outputTokens: BigInt(done.outputTokens),
				slotMs: done.slotMs,
				storedBytes: BigInt(Buffer.byteLength(turn.input) + Buffer.byteLength(text)),
			},
		}, Date.now() + SETTLE_TIMEOUT_MS, progress.traceparent);
		if (settled.isErr() || settled.value.body.case !== 'acknowledged') {
			return false;
		}

		events.onFinal({
			requestId: call.requestId,
			turn: call.turn,
			bytes: Buffer.byteLength(text),
			promptTokens: done.promptTokens,
			outputTokens: done.outputTokens,
			finish: done.finish,
			digest: turn.digest,
		});
		return true;
	};

	/** Returns the owner's refusal if it cannot vouch for the fate. */
	const release = async ({call, traceparent}: CallProgress, grant: Grant, fate: Fate, isFinal: boolean, done?: Done): Promise<Refusal | undefined> => {
		const answer = await router.ask(shardOf(call.program), {
			case: 'release',
			value: {
				program: call.program,
				requestId: call.requestId,
				claim: grant.claim,
				fate,
				final: isFinal,
				upstreamCrashed: done?.upstreamCrashed ?? false,
				ranAlone: done?.ranAlone ?? false,
			},
		}, Date.now() + SETTLE_TIMEOUT_MS, traceparent);
		if (answer.isErr()) {
			return answer.error;
		}

		return answer.value.body.case === 'acknowledged' ? undefined : NOT_VOUCHED;
	};

	const describeFailure = (fate: Fate, call: CallRequest, reason: string, retryAfterMs: number): Refusal => {
		const refusal = (code: RefusalCode, message: string): Refusal => ({code, message, ...(retryAfterMs > 0 && {retryAfterMs})});
		if (fate === Fate.NOT_RUN) {
			return refusal('not-run', `The call did not run: ${reason}; send it again under a new request id.`);
		}

		if (fate === Fate.CANCELLED) {
			return refusal('cancelled', 'The call was cancelled.');
		}

		return call.idempotent
			? {code: 'unavailable', message: `The upstream failed while the call ran: ${reason}; send the same request again.`, retryAfterMs: RETRY_AFTER_MS}
			: refusal('outcome-unknown', `Whether the call ran cannot be established: ${reason}; check its effect before you send it under a new request id.`);
	};

	const judgeFate = (call: CallRequest, result: EndedRun): Fate => {
		if (result.kind === 'lost') {
			return call.idempotent ? Fate.FAILED : Fate.UNKNOWN;
		}

		return call.idempotent && result.done.fate === Fate.UNKNOWN ? Fate.FAILED : result.done.fate;
	};

	/** Releases a grant that led to no answer; true if the call is to be tried again. */
	const recover = async (progress: CallProgress, grant: Grant, result: EndedRun): Promise<boolean> => {
		const {call, events} = progress;
		const fate = judgeFate(call, result);
		const done = result.kind === 'done' ? result.done : undefined;
		const reason = result.kind === 'done' ? result.done.reason : result.reason;
		progress.attempts++;
		const retry = fate === Fate.CANCELLED
			? {retry: false, afterMs: 0, budget: retryBudget}
			: options.decideRetry({
				attempts: progress.attempts,
				fate: fate === Fate.NOT_RUN ? 'not-run' : (fate === Fate.FAILED ? 'failed' : 'unknown'),
				idempotent: call.idempotent,
				deadlineMs: progress.deadlineAt - Date.now(),
				...(done && done.retryAfterMs > 0 && {retryAfterMs: done.retryAfterMs}),
			}, retryBudget, random);
		retryBudget = retry.budget;
		const released = await release(progress, grant, fate, !retry.retry, done);
		if (!retry.retry) {
			const isVouched = fate !== Fate.NOT_RUN || released === undefined;
			events.onRefused(isVouched ? describeFailure(fate, call, reason, done?.retryAfterMs ?? 0) : released);
			return false;
		}

		await delay(retry.afterMs);
		return true;
	};

	/** Pauses before the owner is asked again; false, with a refusal sent, once the deadline has passed. The grant stays, so the same request may come again. */
	const waitOrRefuse = async ({events, deadlineAt}: CallProgress, refusal: Refusal): Promise<boolean> => {
		if (Date.now() >= deadlineAt) {
			events.onRefused(refusal);
			return false;
		}

		await delay(ASK_AGAIN_PAUSE_MS);
		return true;
	};

	/** Handles one grant; true if the owner is to be asked again. */
	const useGrant = async (progress: CallProgress, grant: Grant): Promise<boolean> => {
		const {events, call} = progress;
		if (!progress.accepted) {
			progress.accepted = true;
			events.onAccepted({requestId: call.requestId, turn: call.turn});
		}

		if (progress.finished?.digest !== grant.digest) {
			const result = await runGrant(progress, grant);
			if (result.kind === 'unsent') {
				return waitOrRefuse(progress, result.refusal);
			}

			if (result.kind === 'lost' || result.done.fate !== Fate.UNSPECIFIED) {
				return recover(progress, grant, result);
			}

			progress.finished = {text: result.text, done: result.done, digest: grant.digest};
		}

		return !await finish(progress, grant) && waitOrRefuse(progress, NOT_STORED);
	};

	const refuseWith = (events: CallEvents, body: Body) => {
		if (body.case === 'refused') {
			const {code, message, retryAfterMs} = body.value;
			events.onRefused({code: code as RefusalCode, message, ...(retryAfterMs > 0 && {retryAfterMs})});
		} else {
			events.onRefused({code: 'unavailable', message: `The owner answered with ${body.case}; send the same request again.`, retryAfterMs: RETRY_AFTER_MS});
		}
	};

	const run: CallRunner['run'] = async (call, events, traceparent) => {
		retryBudget = depositAttempt(retryBudget);
		const span = tracer.startSpan('entry.call', {traceparent, attributes: {program: call.program, request: call.requestId}});
		let outcome = 'ok';
		const traced: CallEvents = {
			...events,
			onRefused(refusal) {
				outcome = refusal.code;
				events.onRefused(refusal);
			},
		};
		const progress = createProgress(call, traced, span.traceparent);
		let goesOn = true;
		while (goesOn) {
			const answer = await askGrant(progress);
			if (answer.isErr()) {
				traced.onRefused(answer.error);
				break;
			}

			const {body} = answer.value;
			if (body.case === 'grant') {
				goesOn = await useGrant(progress, body.value);
				continue;
			}

			goesOn = false;
			if (body.case === 'recorded') {
				await sendRecorded(progress, body.value);
			} else {
				refuseWith(traced, body);
			}
		}

		span.end(outcome);
	};

	/** Follows the run behind a grant that another request was given; true if the owner is to be asked again. */
	const observeGrant = async (progress: CallProgress, grant: Grant): Promise<boolean> => {
		restart(progress);
		const result = await followRun({
			getLink: options.getLink,
			grant,
			payload: '',
			model: '',
			operation: '',
			input: '',
			observe: true,
			patienceMs: IDEMPOTENT_PATIENCE_MS,
			onText(offset, text) {
				progress.sentBytes = offset + Buffer.byteLength(text);
				progress.events.onChunk({offset, text});
			},
			traceparent: progress.traceparent,
		});
		if (result.kind !== 'done' || result.done.fate !== Fate.UNSPECIFIED) {
			return waitOrRefuse(progress, NOT_STORED);
		}

		// The entry that posted the call may be gone, so whoever follows it stores the turn.
		const call = {...progress.call, turn: grant.turn as TurnNumber, input: JSON.parse(result.done.input) as unknown};
		const known: CallProgress = {...progress, call, finished: {text: result.text, done: result.done, digest: grant.digest}};
		return !await finish(known, grant) && waitOrRefuse(progress, NOT_STORED);
	};

	const attach: CallRunner['attach'] = async ({program, workspace, requestId, deadlineMs}, events, traceparent) => {
		const progress = createProgress({
			program, workspace, requestId, deadlineMs, turn: 0 as TurnNumber, idempotent: false, target: {kind: 'model', model: ''}, input: null, maxOutputTokens: 0, after: '',
		}, events, traceparent);
		let goesOn = true;
		while (goesOn) {
			const answer = await router.ask(options.shardOf(program), {case: 'attachCall', value: {program, workspace, requestId}}, progress.deadlineAt, traceparent);
			if (answer.isErr()) {
				events.onRefused(answer.error);
				return;
			}

			const {body} = answer.value;
			if (body.case === 'grant') {
				goesOn = await observeGrant(progress, body.value);
				continue;
			}

			goesOn = false;
			if (body.case === 'recorded') {
				await sendRecorded(progress, body.value);
			} else {
				refuseWith(events, body);
			}
		}
	};

	let open = 0;
	const count = <Arguments extends unknown[]>(work: (...args: Arguments) => Promise<void>) => async (...args: Arguments) => {
		open++;
		try {
			await work(...args);
		} finally {
			open--;
		}
	};

	return {run: count(run), attach: count(attach), open: () => open};
};
