/**
Cuts a stream of server-sent events only between events, so that a caller never
receives half an event when the stream breaks off.
*/
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {createByteBlocks} from './create-byte-blocks.js';

type SplitEvents = {
	/** The unchanged bytes up to the end of the last complete event. */
	readonly bytes: Uint8Array;
	readonly events: readonly EventSourceMessage[];
};

const EVENT_END = '\n\n';
const NEWLINE = 0x0A;
const EMPTY = new Uint8Array();

/** `push` takes chunks of any size and returns the events that they complete. */
export const createEventSplitter = () => {
	const remainder = createByteBlocks();
	let events: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			events.push(event);
		},
	});

	/** Returns how many bytes of `chunk` belong to complete events. */
	const findEnd = (chunk: Uint8Array): number => {
		const index = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length).lastIndexOf(EVENT_END);
		if (index !== -1) {
			return index + EVENT_END.length;
		}

		return chunk[0] === NEWLINE && remainder.lastByte() === NEWLINE ? 1 : 0;
	};

	return {
		push(chunk: Uint8Array): SplitEvents {
			const end = findEnd(chunk);
			if (end === 0) {
				remainder.append(chunk);
				return {bytes: EMPTY, events: []};
			}

			const complete = Buffer.concat([...remainder.take(), chunk.subarray(0, end)]);
			remainder.append(chunk.subarray(end));
			events = [];
			parser.feed(complete.toString('utf8'));
			return {bytes: complete, events};
		},
		/** Bytes that are kept of an incomplete event. */
		keptBytes: remainder.capacity,
		/** The bytes of an incomplete event at the end of the stream so far. */
		getRemainder: remainder.copy,
	};
};
