/**
Prepares a turn of a program: reserves its tokens and gives the upstream the
turns that it goes on from. A process that is cut off from the holders says so at
once, since the caller can be served by another.
*/
import {Buffer} from 'node:buffer';
import type {TurnKeeper} from '@siskinhub/turns/keeper/turn-keeper.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';

/** Time for a quorum of holders to answer. */
const HOLDERS_TIMEOUT_MS = 1200;

type PreparedTurn =
	| {readonly kind: 'ready'; readonly body: Uint8Array; readonly isReserved: boolean}
	| {readonly kind: 'over-budget' | 'unknown-turn' | 'unavailable'; readonly isReserved: boolean};

/** `body` is what the caller sent; `leftMs` the time until its deadline. */
export const prepareTurn = async (keeper: TurnKeeper, call: CallHead, route: Route, {body, leftMs: remainingMs}: {readonly body: Uint8Array; readonly leftMs: number}): Promise<PreparedTurn> => {
	if (keeper.cutOffForMs() > 0) {
		return {kind: 'unavailable', isReserved: false};
	}

	const {program, prompt} = call;
	const timeoutMs = Math.min(HOLDERS_TIMEOUT_MS, remainingMs);
	const reserving = program?.tokenBudget === undefined || !prompt
		? undefined
		: keeper.reserve({
			program: program.id, attempt: call.id, tokens: prompt.maxTokens, retentionMs: route.retentionMs, budget: program.tokenBudget,
		}, timeoutMs);
	const previous = route.keepsTurns ? program?.previousTurn : undefined;
	const [reserved, turns] = await Promise.all([
		reserving,
		previous === undefined ? undefined : keeper.readTurns(program!.id, previous, timeoutMs),
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

	const before = turns?.kind === 'found' ? turns.turns.flatMap(({input, output}) => [input, output]) : [];
	return {kind: 'ready', body: before.length > 0 ? Buffer.concat([...before, body]) : body, isReserved};
};
