/**
Prepares a turn of a program: reserves its tokens and puts the previous turns
before its body. If this process has lost the holders, the turn is refused at
once, since another process can serve the caller.
*/
import {Buffer} from 'node:buffer';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';

/** Time in which a quorum of holders must answer. */
const HOLDERS_TIMEOUT_MS = 1200;

type PreparedTurn =
	| {readonly kind: 'ready'; readonly body: Uint8Array; readonly isReserved: boolean}
	| {readonly kind: 'over-budget' | 'unknown-turn' | 'unavailable'; readonly isReserved: boolean};

/** `body` is the body as the caller sent it; `remainingMs` is the time until its deadline. */
export const prepareTurn = async (holderClient: HolderClient, call: CallHead, route: Route, {body, remainingMs}: {readonly body: Uint8Array; readonly remainingMs: number}): Promise<PreparedTurn> => {
	if (holderClient.cutOffForMs() > 0) {
		return {kind: 'unavailable', isReserved: false};
	}

	const {program, prompt} = call;
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
	if (turns?.kind === 'unknown') {
		return {kind: 'unknown-turn', isReserved};
	}

	if (reserved === 'spent' || reserved === 'over-budget') {
		return {kind: 'over-budget', isReserved};
	}

	if (reserved === 'unavailable' || turns?.kind === 'unavailable') {
		return {kind: 'unavailable', isReserved};
	}

	const previousBodies = turns?.kind === 'found' ? turns.turns.flatMap(({input, output}) => [input, output]) : [];
	return {kind: 'ready', body: previousBodies.length > 0 ? Buffer.concat([...previousBodies, body]) : body, isReserved};
};
