/**
Stores finished answers on the history holders and reads the stored answers of
repeated requests back.
*/
import {Buffer} from 'node:buffer';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import {decodeHolders} from '../history/decode-holders.js';
import type {HistoryClient} from '../history/history-client.js';
import type {AnswerStore} from './answer-store.js';
import {buildTurn} from './build-turn.js';
import type {CallProgress} from './call-progress.js';
import type {OwnerClient} from './owner-client.js';
import {restartAnswer} from './restart-answer.js';

const RECORDED_ANSWER_UNREADABLE: Refusal = {
	code: 'unavailable',
	message: 'The recorded answer could not be read; send the same request again.',
	retryAfterMs: 1000,
};

type StoreOptions = {
	readonly histories: HistoryClient;
	readonly owner: OwnerClient;
	readonly tracer: Tracer;
};

const sendFinal = ({events}: CallProgress, turn: TurnRecord): void => {
	events.onFinal({
		requestId: turn.requestId,
		turn: turn.turn,
		bytes: Buffer.byteLength(turn.output),
		promptTokens: turn.promptTokens,
		outputTokens: turn.outputTokens,
		finish: turn.finish,
		digest: turn.digest,
	});
};

/** Creates the store of one entry. */
export const createAnswerStore = ({histories, owner, tracer}: StoreOptions): AnswerStore => ({
	async readHistory(progress, grant) {
		const {program, history} = progress.call;
		const holders = decodeHolders(grant.holders);
		const read = await histories.readUpToDigest(holders, program, grant.digest);
		const isRestored = read.isErr() && history !== undefined && await owner.restoreHistory(progress, history);
		return isRestored ? histories.readUpToDigest(holders, program, grant.digest) : read;
	},
	async storeAnswer(progress, grant) {
		const {call, finished} = progress;
		if (!finished) {
			return false;
		}

		const turn = buildTurn(call, finished);
		const span = tracer.startSpan('entry.store', {traceparent: progress.traceparent});
		const stored = await histories.appendTurn({
			shard: grant.shard as ShardId,
			epoch: Number(grant.epoch) as Epoch,
			holders: decodeHolders(grant.holders),
			traceparent: span.traceparent,
		}, turn);
		span.end(stored.isOk() ? 'ok' : stored.error.code);
		if (stored.isErr() || !await owner.settle(progress, grant, turn)) {
			return false;
		}

		sendFinal(progress, turn);
		return true;
	},
	async sendRecorded(progress, recorded) {
		const read = await histories.readLatest(decodeHolders(recorded.holders), progress.call.program);
		if (read.isErr()) {
			progress.events.onRefused(read.error);
			return;
		}

		const turn = read.value?.turns.find(stored => stored.turn === recorded.turn);
		if (!turn) {
			progress.events.onRefused(RECORDED_ANSWER_UNREADABLE);
			return;
		}

		restartAnswer(progress);
		progress.events.onChunk({offset: 0, text: turn.output});
		sendFinal(progress, turn);
	},
});
