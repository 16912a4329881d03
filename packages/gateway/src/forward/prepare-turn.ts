/**
Prepares a turn of a program: reserves its tokens and puts the previous turns
before its body. If this process has lost the holders, the turn is refused at
once, since another process can serve the caller.
*/
import {Buffer} from 'node:buffer';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {CallHead} from '../call/call-head.js';
import type {StreamOrigin} from '../origins/stream-origin.js';
import type {Route} from '../routes/route.js';

/** Time in which a quorum of holders must answer. */
const HOLDERS_TIMEOUT_MS = 1200;

/** The chain before a turn, oldest first, as `HolderClient.settle` takes it. */
type Chain = Pick<NonNullable<Parameters<HolderClient['settle']>[1]>, 'ancestors' | 'isFromOtherGroup'>;

type Preparation =
	| {readonly kind: 'ready'; readonly body: Uint8Array; readonly chain: Chain}
	| {readonly kind: 'over-budget' | 'unknown-turn' | 'unavailable'};

/** `isReserved`: tokens are or may be reserved, so the attempt must be settled. */
type PreparedTurn = Preparation & {readonly isReserved: boolean};

/** The chain refers to the joined body, so that its bytes are in memory only once while the turn runs. */
const joinTurns = ({turns, isFromOtherGroup}: Extract<Awaited<ReturnType<HolderClient['readTurns']>>, {kind: 'found'}>, body: Uint8Array): {readonly body: Uint8Array; readonly chain: Chain} => {
	const joined = Buffer.concat([...turns.flatMap(({input, output}) => [input, output]), body]);
	let offset = 0;
	const take = ({length}: Uint8Array): Uint8Array => {
		const start = offset;
		offset += length;
		return joined.subarray(start, offset);
	};

	const ancestors = turns.map(({id, previous, input, output}) => ({
		id, previous, input: take(input), output: take(output),
	}));
	return {body: joined, chain: {ancestors, isFromOtherGroup}};
};

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
		return {kind: 'ready', body, chain: {ancestors: [], isFromOtherGroup: false}};
	}

	return {kind: 'ready', ...joinTurns(turns, body)};
};

type PrepareOptions = {
	/** As the caller sent it. */
	readonly body: Uint8Array;
	/** Milliseconds until the caller's deadline. */
	readonly remainingMs: number;
	/** The software that is expected to run the turn, if it is to be stored with the reservation. */
	readonly origin?: StreamOrigin | undefined;
};

export const prepareTurn = async (holderClient: HolderClient, call: CallHead, route: Route, {body, remainingMs, origin}: PrepareOptions): Promise<PreparedTurn> => {
	const {program, prompt} = call;
	if (program && holderClient.cutOffForMs(program.id) > 0) {
		return {kind: 'unavailable', isReserved: false};
	}

	const timeoutMs = Math.min(HOLDERS_TIMEOUT_MS, remainingMs);
	const deadline = Date.now() + timeoutMs;
	const previousTurn = route.keepsTurns ? program?.previousTurn : undefined;
	const reserved = program?.tokenBudget === undefined || !prompt
		? undefined
		: await holderClient.reserve({
			program: program.id, attempt: call.id, tokens: prompt.maxTokens, retentionMs: route.retentionMs, budget: program.tokenBudget, origin, previousTurn,
		}, timeoutMs);
	// A turn that is refused anyway needs no chain.
	const needsChain = previousTurn !== undefined && (reserved === undefined || reserved === 'reserved');
	const turns = needsChain ? await holderClient.readTurns(program!.id, previousTurn, deadline - Date.now(), call.id) : undefined;
	const isReserved = reserved !== undefined && reserved !== 'spent';
	return {...combineAnswers(reserved, turns, body), isReserved};
};
