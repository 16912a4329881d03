/**
Splits a stream of events at event ends, so that a break never leaves half an
event with the caller.
*/
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

type SplitEvents = {
	/** The bytes up to the last whole event, unchanged. */
	readonly bytes: Uint8Array;
	readonly events: readonly EventSourceMessage[];
};

const EVENT_END = '\n\n';
const EMPTY = new Uint8Array();

/** Takes chunks in and gives whole events out. */
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
		/** Bytes of an event that has not ended. */
		rest: (): Uint8Array => remainder,
	};
};
