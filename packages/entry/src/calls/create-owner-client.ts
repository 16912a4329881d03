/**
Builds the messages that an entry sends to the owner of a call's program.
*/
import {Buffer} from 'node:buffer';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {encodeTurn} from '../history/encode-turn.js';
import type {OwnerRouter} from '../owner/owner-router.js';
import type {CallProgress} from './call-progress.js';
import {fingerprintCall} from './fingerprint-call.js';
import type {OwnerClient} from './owner-client.js';

const SETTLE_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1000;

/** The owner did not confirm that the call never ran. */
const FATE_UNCONFIRMED: Refusal = {
	code: 'unavailable',
	message: 'No upstream took the call now, and another try of it may have run; send the same request again.',
	retryAfterMs: RETRY_AFTER_MS,
};

type ClientOptions = {
	readonly router: OwnerRouter;
	readonly getProgramShard: (program: ProgramId) => ShardId;
};

const buildGrantRequest = ({call, deadlineAt}: CallProgress): MessageBodyInit => {
	const {target} = call;
	return {
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
			deadlineMs: Math.max(0, deadlineAt - Date.now()),
			after: call.after,
			fingerprint: fingerprintCall(call),
		},
	};
};

/** Creates the client of one entry. */
export const createOwnerClient = ({router, getProgramShard}: ClientOptions): OwnerClient => {
	const ask = async ({call, traceparent}: CallProgress, body: MessageBodyInit, deadlineAt: number) => {
		const answer = await router.ask(getProgramShard(call.program), body, deadlineAt, traceparent);
		return answer.map(({body: reply}) => reply);
	};

	return {
		askGrant: async progress => ask(progress, buildGrantRequest(progress), progress.deadlineAt),
		async askAttach(progress) {
			const {program, workspace, requestId} = progress.call;
			return ask(progress, {case: 'attachCall', value: {program, workspace, requestId}}, progress.deadlineAt);
		},
		async settle(progress, {claim}, turn) {
			const settled = await ask(progress, {
				case: 'settle',
				value: {
					program: turn.program,
					requestId: turn.requestId,
					claim,
					turn: turn.turn,
					digest: turn.digest,
					promptTokens: BigInt(turn.promptTokens),
					outputTokens: BigInt(turn.outputTokens),
					slotMs: progress.finished?.done.slotMs ?? 0n,
					storedBytes: BigInt(Buffer.byteLength(turn.input) + Buffer.byteLength(turn.output)),
				},
			}, Date.now() + SETTLE_TIMEOUT_MS);
			return settled.isOk() && settled.value.case === 'acknowledged';
		},
		async release(progress, {grant, fate, isFinal, done}) {
			const answer = await ask(progress, {
				case: 'release',
				value: {
					program: progress.call.program,
					requestId: progress.call.requestId,
					claim: grant.claim,
					fate,
					final: isFinal,
					upstreamCrashed: done?.upstreamCrashed ?? false,
					ranAlone: done?.ranAlone ?? false,
				},
			}, Date.now() + SETTLE_TIMEOUT_MS);
			if (answer.isErr()) {
				return answer.error;
			}

			return answer.value.case === 'acknowledged' ? undefined : FATE_UNCONFIRMED;
		},
		async restoreHistory(progress, history) {
			const {program, workspace} = progress.call;
			const restored = await ask(progress, {
				case: 'restoreHistory',
				value: {program, workspace, turns: history.map(turn => encodeTurn(turn))},
			}, progress.deadlineAt);
			return restored.isOk() && restored.value.case === 'acknowledged';
		},
	};
};
