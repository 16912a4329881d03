/**
What a request that is a turn of a program needs beside its way to an upstream:
tokens reserved before, the turns it goes on from, and its end stored.
*/
import {Buffer} from 'node:buffer';
import type {TurnKeeper} from '@siskinhub/turns/keeper/turn-keeper.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';
import {prepareTurn} from './prepare-turn.js';
import type {StreamProgress} from './stream-progress.js';

/** Time for the end of a turn to reach a quorum of holders where its caller waits for it. */
const SETTLE_TIMEOUT_MS = 2000;

type TurnHandlerOptions = {
	readonly keeper: TurnKeeper;
	readonly call: CallHead;
	readonly route: Route;
	/** What the caller sent. */
	readonly body: Uint8Array;
	readonly tokensPerEvent: number;
};

/** Creates the state of one request; one that is no turn passes through unchanged. */
export const createTurnHandler = ({keeper, call, route, body, tokensPerEvent}: TurnHandlerOptions) => {
	const isTurn = route.kind === 'stream' && call.program !== undefined;
	const progress: StreamProgress = {
		lastEventId: undefined, events: 0, output: isTurn && route.keepsTurns ? [] : undefined, firstEventAt: undefined,
	};
	let isReserved = false;

	const settle = async (turn?: Parameters<TurnKeeper['settle']>[1]): Promise<boolean> => {
		isReserved = false;
		const tokens = Math.min(call.prompt?.maxTokens ?? Infinity, progress.events * tokensPerEvent);
		return keeper.settle({
			program: call.program!.id, attempt: call.id, tokens, retentionMs: route.retentionMs,
		}, turn, SETTLE_TIMEOUT_MS);
	};

	/** Nobody waits for it; until it is stored the turn counts at its most. */
	const settleInBackground = (): void => {
		if (isReserved) {
			void settle();
		}
	};

	return {
		progress,
		settleInBackground,
		async prepare(remainingMs: number): ReturnType<typeof prepareTurn> {
			if (!isTurn) {
				return {kind: 'ready', body, isReserved: false};
			}

			const prepared = await prepareTurn(keeper, call, route, {body, leftMs: remainingMs});
			isReserved = prepared.isReserved;
			return prepared;
		},
		/** Whether what must be on disk before the answer may end is there. */
		async completeTurn(): Promise<boolean> {
			if (progress.output) {
				return settle({previous: call.program?.previousTurn ?? '', input: body, output: Buffer.from(progress.output.join(''))});
			}

			settleInBackground();
			return true;
		},
	};
};
