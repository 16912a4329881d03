/**
Prepares a turn of a program: reserves its tokens and puts the previous turns
before its body. If this process has lost the holders, the turn is refused at
once, since another process can serve the caller.
*/
import {Buffer} from 'node:buffer';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {KeptTurn} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';

/** Time in which a quorum of holders must answer. */
const HOLDERS_TIMEOUT_MS = 1200;

type Preparation =
	/** `ancestors`: the previous turns that have to be stored again together with this one. */
	| {readonly kind: 'ready'; readonly body: Uint8Array; readonly ancestors: readonly KeptTurn[]}
	| {readonly kind: 'over-budget' | 'unknown-turn' | 'unavailable'};

/** `isReserved`: tokens are or may be reserved, so the attempt must be settled. */
type PreparedTurn = Preparation & {readonly isReserved: boolean};

/** `reserved` and `turns` are absent if they were not needed. */
const combineAnswers = (
	reserved: Awaited<ReturnType<HolderClient['reserve']>> | undefined,
	turns: Awaited<ReturnType<HolderClient['readTurns']>> | undefined,
	body: Uint8Array,
): Preparation => {
	if (turns?.kind === 'unknown') {
		return {kind: 'unknown-turn'};
	}

	if (reserved === 'spent' || reserved === 'over-budget') {
		return {kind: 'over-budget'};
	}

	if (reserved === 'unavailable' || turns?.kind === 'unavailable') {
		return {kind: 'unavailable'};
	}

	if (turns?.kind !== 'found') {
		return {kind: 'ready', body, ancestors: []};
	}

	const previousBodies = turns.turns.flatMap(({input, output}) => [input, output]);
	return {kind: 'ready', body: Buffer.concat([...previousBodies, body]), ancestors: turns.isFromOtherGroup ? turns.turns : []};
};

/** `body` is the body as the caller sent it; `remainingMs` is the time until its deadline. */
export const prepareTurn = async (holderClient: HolderClient, call: CallHead, route: Route, {body, remainingMs}: {readonly body: Uint8Array; readonly remainingMs: number}): Promise<PreparedTurn> => {
	const {program, prompt} = call;
	if (program && holderClient.cutOffForMs(program.id) > 0) {
		return {kind: 'unavailable', isReserved: false};
	}

	const timeoutMs = Math.min(HOLDERS_TIMEOUT_MS, remainingMs);
	const reserving = program?.tokenBudget === undefined || !prompt
		? undefined
		: holderClient.reserve({
			program: program.id, attempt: call.id, tokens: prompt.maxTokens, retentionMs: route.retentionMs, budget: program.tokenBudget,
		}, timeoutMs);
	const previous = route.keepsTurns ? program?.previousTurn : undefined;
	const [reserved, turns] = await Promise.all([
		reserving,
		previous === undefined ? undefined : holderClient.readTurns(program!.id, previous, timeoutMs),
	]);
	const isReserved = reserved !== undefined && reserved !== 'spent';
	return {...combineAnswers(reserved, turns, body), isReserved};
};
