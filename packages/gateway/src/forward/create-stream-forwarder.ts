/**
Forwards the events of one attempt to the caller: whole events only, the first one
once it may be passed on.
*/
import {Buffer} from 'node:buffer';
import type {EventSourceMessage} from 'eventsource-parser';
import type {AnswerExcess} from './answer-excess.js';
import type {AnswerHolding, AnswerShare} from './answer-memory.js';
import {createByteBlocks} from './create-byte-blocks.js';
import {createEventSplitter} from './create-event-splitter.js';
import type {StreamProgress} from './stream-progress.js';

type ForwarderOptions = {
	readonly progress: StreamProgress;
	/** What the attempt holds of the memory for answers. */
	readonly holding: AnswerHolding;
	/** Called with events right before they are passed on; returns why they must not be, if so. */
	readonly recordEvents: (events: readonly EventSourceMessage[]) => AnswerExcess | undefined;
	/** Sends the head of the response unless it has been sent. */
	readonly startResponse: () => void;
	/** Returns whether the first event may be passed on. */
	readonly confirmFirstEvent: () => boolean | Promise<boolean>;
	readonly write: (bytes: Uint8Array) => void;
	readonly pause: () => void;
	readonly resume: () => void;
	/** Called once if the attempt must be given up; `isSound` if not for what the upstream sent. */
	readonly onRejected: (message: string, isSound: boolean) => void;
	/** Called before `onRejected` if the stream is no answer because of what it sent. */
	readonly onExcess: (kind: AnswerExcess['kind']) => void;
};

/** Far above any real event; bytes without an end of an event would otherwise fill the memory. */
const EVENT_SHARE: AnswerShare = {limitBytes: 256 * 1024, partOfFree: 1 / 8};
/** Far above the comments that keep a connection alive between two events; those without end would otherwise take the processor. */
const MAX_BYTES_WITHOUT_EVENT = 64 * 1024;

/** Lines that belong to no event. */
const isOutsideEvents = (line: string): boolean => line === '' || line.startsWith(':');

/** Copies an id, which as a part of a larger text would keep all of that. */
const copyText = (text: string): string => Buffer.from(text).toString();

export const createStreamForwarder = ({progress, holding, recordEvents, startResponse, confirmFirstEvent, write, pause, resume, onRejected, onExcess}: ForwarderOptions) => {
	const splitter = createEventSplitter();
	const held = createByteBlocks();
	let bytesWithoutEvent = 0;
	let confirming: Promise<void> | undefined;
	let isConfirmed = false;
	let hasPassedOn = false;
	let isStopped = false;

	const reject = (message: string, isSound = false): void => {
		if (!isStopped) {
			isStopped = true;
			onRejected(message, isSound);
		}
	};

	const findExcess = (events: readonly EventSourceMessage[]): AnswerExcess | undefined => {
		if (!holding.tryHold(splitter.keptBytes(), EVENT_SHARE)) {
			return {kind: 'event', message: `the upstream sent bytes without the end of an event: they take ${splitter.keptBytes()} bytes, of which an event may have ${holding.allowance(EVENT_SHARE)} now`};
		}

		if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
			return {kind: 'comments', message: `the upstream sent ${bytesWithoutEvent} bytes without an event, of which a stream may have ${MAX_BYTES_WITHOUT_EVENT}`};
		}

		return recordEvents(events);
	};

	const forward = (chunk: Uint8Array): void => {
		const {bytes, events} = splitter.push(chunk);
		bytesWithoutEvent = events.length > 0 ? 0 : bytesWithoutEvent + bytes.length;
		const excess = findExcess(events);
		if (excess) {
			onExcess(excess.kind);
			reject(excess.message);
			return;
		}

		if (bytes.length === 0) {
			return;
		}

		const lastId = events.findLast(({id}) => id !== undefined)?.id;
		progress.lastEventId = lastId === undefined ? progress.lastEventId : copyText(lastId);
		progress.events += events.length;
		progress.firstEventAt ??= Date.now();
		hasPassedOn = true;
		startResponse();
		write(bytes);
	};

	const decide = (mayPass: boolean): void => {
		if (!mayPass) {
			reject('the software that runs the stream could not be stored', true);
			return;
		}

		isConfirmed = true;
		holding.hold(0);
		for (const block of held.take()) {
			if (!isStopped) {
				forward(block);
			}
		}
	};

	const waitForConfirmation = async (answer: Promise<boolean>): Promise<void> => {
		pause();
		const mayPass = await answer;
		if (!isStopped) {
			// First, since the caller may take too little of what is passed on next.
			resume();
			decide(mayPass);
		}
	};

	return {
		receive(chunk: Uint8Array): void {
			if (isStopped) {
				return;
			}

			if (isConfirmed) {
				forward(chunk);
				return;
			}

			held.append(chunk);
			holding.hold(held.capacity());
			if (confirming) {
				return;
			}

			const answer = confirmFirstEvent();
			if (typeof answer === 'boolean') {
				decide(answer);
			} else {
				confirming = waitForConfirmation(answer);
			}
		},
		/** Whether the caller has any byte of this attempt. */
		hasPassedOn: () => hasPassedOn,
		/** The attempt has ended; nothing more is passed on. */
		stop(): void {
			isStopped = true;
		},
		/** Resolves to the bytes after the last event, or to nothing if the stream ended inside an event or was rejected. */
		async finish(): Promise<Uint8Array | undefined> {
			await confirming;
			const remainder = splitter.getRemainder();
			const isWhole = Buffer.from(remainder).toString('utf8').split('\n').every(line => isOutsideEvents(line));
			return isWhole && !isStopped ? remainder : undefined;
		},
	};
};
