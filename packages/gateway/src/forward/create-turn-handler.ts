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
import type {AnswerExcess} from './answer-excess.js';
import type {AnswerMemory, AnswerShare} from './answer-memory.js';
import {countMostEvents} from './count-most-events.js';
import {createByteBlocks} from './create-byte-blocks.js';
import {prepareTurn} from './prepare-turn.js';
import {reservesTokens} from './reserves-tokens.js';
import type {StreamProgress} from './stream-progress.js';

/** Time in which a quorum of holders must store a finished turn while the caller waits. */
const SETTLE_TIMEOUT_MS = 2000;
/**
The limit is far above any real turn. The part is larger than that of what is only
passed on, since the events of a turn come whole and their number is bounded.
*/
const TURN_SHARE: AnswerShare = {limitBytes: 1024 * 1024, partOfFree: 1 / 2};

type TurnHandlerOptions = {
	readonly holderClient: HolderClient;
	readonly memory: Pick<AnswerMemory, 'open'>;
	readonly call: CallHead;
	readonly route: Route;
	/** The body as the caller sent it. */
	readonly body: Uint8Array;
	readonly tokensPerEvent: number;
	/** The software that is expected to run the request, if that has to be stored. */
	readonly origin: StreamOrigin | undefined;
};

/** Holds the state of one request. A request that is not a turn is passed through unchanged. */
export const createTurnHandler = ({holderClient, memory, call, route, body, tokensPerEvent, origin}: TurnHandlerOptions) => {
	const isTurn = route.kind === 'stream' && call.program !== undefined;
	const isKept = isKeptTurn(call, route);
	// Stored together with the tokens, which takes no message of its own.
	const expectedOrigin = isTurn && reservesTokens(call) ? origin : undefined;
	// The caller may take the turn up elsewhere, which needs the events that it had.
	const isCopiedAsItComes = isKept && route.isResumable;
	const progress: StreamProgress = {lastEventId: undefined, events: 0, firstEventAt: undefined};
	const mostEvents = countMostEvents(call, tokensPerEvent);
	// The data of each event on a line, including those that the caller had before it took the stream up; only if the turn is kept.
	const output = createByteBlocks();
	let outputEvents = 0;
	const holding = memory.open();
	let isReserved = false;
	let isOver = false;
	let chain: Extract<Awaited<ReturnType<typeof prepareTurn>>, {kind: 'ready'}>['chain'] = {ancestors: [], isFromOtherGroup: false};

	const addOutput = (events: ReadonlyArray<{readonly data: string}>): void => {
		output.append(Buffer.from(events.map(({data}) => `${data}\n`).join('')));
		outputEvents += events.length;
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
		output.take();
		holding.release();
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
			holding.hold(output.capacity());
		},
		/** Must be called with events before they are passed on; returns why they must not be, if so. */
		recordEvents(events: readonly EventSourceMessage[]): AnswerExcess | undefined {
			// The events that the caller had from an earlier attempt are not counted: its call may name the tokens of the whole turn or of the rest.
			const eventCount = progress.events + events.length;
			if (eventCount > mostEvents) {
				return {kind: 'events', message: `the upstream sent ${eventCount} events, of which a call for ${call.prompt?.maxTokens} tokens may have ${mostEvents}`};
			}

			if (!isKept) {
				return undefined;
			}

			if (isCopiedAsItComes) {
				holderClient.appendOutput({program: call.program!.id, attempt: call.id}, outputEvents, events.map(({id = '', data}) => ({id, data})));
			}

			addOutput(events);
			return holding.tryHold(output.capacity(), TURN_SHARE)
				? undefined
				: {kind: 'turn', message: `the upstream sent more than a turn may have: its events take ${output.capacity()} bytes, of which a turn may have ${holding.allowance(TURN_SHARE)} now`};
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
				const whole = output.copy();
				output.take();
				holding.hold(whole.length);
				return settle({
					previous: call.program?.previousTurn ?? '', input: body, output: whole, ...chain,
				});
			}

			settleInBackground();
			return true;
		},
	};
};
