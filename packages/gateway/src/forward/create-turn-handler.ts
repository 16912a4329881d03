/**
Handles what a request needs because it is a turn of a program: reserves its
tokens and reads the previous turns before it is sent, and stores the turn and
settles its tokens when it ends.
*/
import {Buffer} from 'node:buffer';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {OutputEvent} from '@siskinhub/turns/client/output-event.js';
import type {EventSourceMessage} from 'eventsource-parser';
import type {CallHead} from '../call/call-head.js';
import {isKeptTurn} from '../origins/is-kept-turn.js';
import type {StreamOrigin} from '../origins/stream-origin.js';
import type {Route} from '../routes/route.js';
import {prepareTurn} from './prepare-turn.js';
import {reservesTokens} from './reserves-tokens.js';
import type {StreamProgress} from './stream-progress.js';

/** Time in which a quorum of holders must store a finished turn while the caller waits. */
const SETTLE_TIMEOUT_MS = 2000;
/** Far above any real turn. What is kept of a stream without end would fill the memory. */
const MAX_OUTPUT_BYTES = 1024 * 1024;

type TurnHandlerOptions = {
	readonly holderClient: HolderClient;
	readonly call: CallHead;
	readonly route: Route;
	/** The body as the caller sent it. */
	readonly body: Uint8Array;
	readonly tokensPerEvent: number;
	/** The software that is expected to run the request, if that has to be stored. */
	readonly origin: StreamOrigin | undefined;
};

/** Holds the state of one request. A request that is not a turn is passed through unchanged. */
export const createTurnHandler = ({holderClient, call, route, body, tokensPerEvent, origin}: TurnHandlerOptions) => {
	const isTurn = route.kind === 'stream' && call.program !== undefined;
	const isKept = isKeptTurn(call, route);
	// Stored together with the tokens, which takes no message of its own.
	const expectedOrigin = isTurn && reservesTokens(call) ? origin : undefined;
	// The caller may take the turn up elsewhere, which needs the events that it had.
	const isCopiedAsItComes = isKept && route.isResumable;
	const progress: StreamProgress = {lastEventId: undefined, events: 0, firstEventAt: undefined};
	// The data of each event, including those that the caller had before it took the stream up; only if the turn is kept.
	const output: string[] = [];
	let outputBytes = 0;
	let isReserved = false;
	let isOver = false;
	let chain: Extract<Awaited<ReturnType<typeof prepareTurn>>, {kind: 'ready'}>['chain'] = {ancestors: [], isFromOtherGroup: false};

	const addOutput = (events: ReadonlyArray<{readonly data: string}>): void => {
		for (const {data} of events) {
			output.push(data);
			outputBytes += data.length;
		}
	};

	const settle = async (turn?: Parameters<HolderClient['settle']>[1]): Promise<boolean> => {
		isReserved = false;
		const tokens = Math.ceil(Math.min(call.prompt?.maxTokens ?? Infinity, progress.events * tokensPerEvent));
		return holderClient.settle({
			program: call.program!.id, attempt: call.id, tokens, retentionMs: route.retentionMs,
		}, turn, SETTLE_TIMEOUT_MS);
	};

	/** The caller does not wait for it. Until it is stored, the turn counts with all of its reserved tokens. */
	const settleInBackground = (): void => {
		isOver = true;
		if (isReserved) {
			void settle();
		}
	};

	return {
		progress,
		/** The origin that `prepare` has the holders store. */
		expectedOrigin,
		/** Whether the holders are sent each event before the caller gets it. */
		isCopiedAsItComes,
		settleInBackground,
		/** Adds events that the caller had from an earlier attempt. */
		addBeginning(events: readonly OutputEvent[]): void {
			addOutput(events);
		},
		/** Must be called with events before they are passed on; returns `false` if the turn becomes too long to be kept. */
		recordEvents(events: readonly EventSourceMessage[]): boolean {
			if (!isKept) {
				return true;
			}

			if (isCopiedAsItComes) {
				holderClient.appendOutput({program: call.program!.id, attempt: call.id}, output.length, events.map(({id = '', data}) => ({id, data})));
			}

			addOutput(events);
			return outputBytes <= MAX_OUTPUT_BYTES;
		},
		async prepare(remainingMs: number): ReturnType<typeof prepareTurn> {
			if (!isTurn) {
				return {
					kind: 'ready', body, isReserved: false, chain,
				};
			}

			const prepared = await prepareTurn(holderClient, call, route, {body, remainingMs, origin: expectedOrigin});
			isReserved = prepared.isReserved;
			chain = prepared.kind === 'ready' ? prepared.chain : chain;
			// The request may have been given up meanwhile.
			if (isOver) {
				settleInBackground();
			}

			return prepared;
		},
		/** Must be called before the response ends; resolves to whether everything that has to be stored by then is stored. */
		async completeTurn(): Promise<boolean> {
			if (isKept) {
				return settle({
					previous: call.program?.previousTurn ?? '', input: body, output: Buffer.from(output.map(data => `${data}\n`).join('')), ...chain,
				});
			}

			settleInBackground();
			return true;
		},
	};
};
