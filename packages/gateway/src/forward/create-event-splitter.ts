/**
Cuts a stream of server-sent events only between events, so that a caller never
receives half an event when the stream breaks off.
*/
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

type SplitEvents = {
	/** The unchanged bytes up to the end of the last complete event. */
	readonly bytes: Uint8Array;
	readonly events: readonly EventSourceMessage[];
};

const EVENT_END = '\n\n';
const EMPTY = new Uint8Array();
/** Far above any real event; bytes without an end of an event would otherwise fill the memory. */
const MAX_EVENT_BYTES = 256 * 1024;

/** `push` takes chunks of any size and returns the events that they complete. */
export const createEventSplitter = () => {
	let remainder: Uint8Array = EMPTY;
	let events: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			events.push(event);
		},
	});

	return {
		push(chunk: Uint8Array): SplitEvents {
			const bytes = Buffer.concat([remainder, chunk]);
			const end = bytes.lastIndexOf(EVENT_END);
			if (end === -1) {
				remainder = bytes;
				return {bytes: EMPTY, events: []};
			}

			const complete = bytes.subarray(0, end + EVENT_END.length);
			remainder = bytes.subarray(end + EVENT_END.length);
			events = [];
			parser.feed(complete.toString('utf8'));
			return {bytes: complete, events};
		},
		/** Whether an event has grown so long that the bytes are no stream of events. */
		isOversized: (): boolean => remainder.length > MAX_EVENT_BYTES,
		/** The bytes of an incomplete event at the end of the stream so far. */
		getRemainder: (): Uint8Array => remainder,
	};
};
