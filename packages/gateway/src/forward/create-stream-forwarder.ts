/**
Forwards the events of one attempt to the caller: whole events only, the first one
once it may be passed on.
*/
import {Buffer} from 'node:buffer';
import type {EventSourceMessage} from 'eventsource-parser';
import type {CallerResponse} from './caller-response.js';
import {createEventSplitter} from './create-event-splitter.js';
import type {StreamProgress} from './stream-progress.js';

type ForwarderOptions = {
	readonly progress: StreamProgress;
	readonly response: Pick<CallerResponse, 'write' | 'onDrain'>;
	/** Called with events right before they are passed on; returns `false` if they must not be. */
	readonly recordEvents: (events: readonly EventSourceMessage[]) => boolean;
	/** Sends the head of the response unless it has been sent. */
	readonly startResponse: () => void;
	/** Returns whether the first event may be passed on. */
	readonly confirmFirstEvent: () => boolean | Promise<boolean>;
	readonly pause: () => void;
	readonly resume: () => void;
	/** Called once if the attempt must be given up; `isSound` if not for what the upstream sent. */
	readonly onRejected: (message: string, isSound: boolean) => void;
};

/** Lines that belong to no event. */
const isOutsideEvents = (line: string): boolean => line === '' || line.startsWith(':');

export const createStreamForwarder = ({progress, response, recordEvents, startResponse, confirmFirstEvent, pause, resume, onRejected}: ForwarderOptions) => {
	const splitter = createEventSplitter();
	const held: Uint8Array[] = [];
	let confirming: Promise<void> | undefined;
	let isConfirmed = false;
	let isStopped = false;

	const reject = (message: string, isSound = false): void => {
		if (!isStopped) {
			isStopped = true;
			onRejected(message, isSound);
		}
	};

	const write = (bytes: Uint8Array): void => {
		if (!response.write(bytes)) {
			pause();
			response.onDrain(resume);
		}
	};

	const forward = (chunk: Uint8Array): void => {
		const {bytes, events} = splitter.push(chunk);
		if (splitter.isOversized()) {
			reject('the upstream sent bytes without the end of an event');
			return;
		}

		if (bytes.length === 0) {
			return;
		}

		if (!recordEvents(events)) {
			reject('the upstream sent more events than a turn may have');
			return;
		}

		for (const event of events) {
			progress.lastEventId = event.id ?? progress.lastEventId;
		}

		progress.events += events.length;
		progress.firstEventAt ??= Date.now();
		startResponse();
		write(bytes);
	};

	const decide = (mayPass: boolean): void => {
		if (!mayPass) {
			reject('the software that runs the stream could not be stored', true);
			return;
		}

		isConfirmed = true;
		forward(Buffer.concat(held.splice(0)));
	};

	const waitForConfirmation = async (answer: Promise<boolean>): Promise<void> => {
		pause();
		const mayPass = await answer;
		if (!isStopped) {
			decide(mayPass);
			resume();
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

			held.push(chunk);
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
