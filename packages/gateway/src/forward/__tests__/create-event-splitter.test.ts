import {Buffer} from 'node:buffer';
import {fc, test} from '@fast-check/vitest';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {createEventSplitter} from '../create-event-splitter.js';

/** Splits by joining everything anew with each chunk, which is plainly right. */
const createJoiningSplitter = () => {
	let remainder = Buffer.alloc(0);
	let events: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			events.push(event);
		},
	});
	return {
		push(chunk: Uint8Array) {
			const bytes = Buffer.concat([remainder, chunk]);
			const end = bytes.lastIndexOf('\n\n');
			const complete = end === -1 ? Buffer.alloc(0) : bytes.subarray(0, end + 2);
			remainder = bytes.subarray(complete.length);
			events = [];
			parser.feed(complete.toString('utf8'));
			return {bytes: complete, events};
		},
		getRemainder: () => remainder,
	};
};

describe('createEventSplitter', () => {
	afterEach(() => {
		vi.restoreAllMocks();
	});

	it('holds back an incomplete event', () => {
		const splitter = createEventSplitter();
		const {bytes, events} = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
		expect(Buffer.from(bytes).toString()).toBe('id: 1\ndata: a\n\n');
		expect(events.map(({id, data}) => [id, data])).toEqual([['1', 'a']]);
		expect(Buffer.from(splitter.getRemainder()).toString()).toBe('id: 2\nda');
	});

	const line = fc.string({unit: 'grapheme'}).filter(text => !/[\n\r]/v.test(text));

	test.prop([fc.array(line, {minLength: 1, maxLength: 8}), fc.integer({min: 1, max: 9})])('returns every byte and event exactly once, whatever the chunk size', (texts, chunkSize) => {
		const stream = Buffer.from(texts.map((text, index) => `id: ${index}\ndata: ${text}\n\n`).join(''));
		const splitter = createEventSplitter();
		const out: Uint8Array[] = [];
		const ids: Array<string | undefined> = [];
		for (let offset = 0; offset < stream.length; offset += chunkSize) {
			const {bytes, events} = splitter.push(stream.subarray(offset, offset + chunkSize));
			out.push(bytes);
			ids.push(...events.map(({id}) => id));
		}

		expect(Buffer.concat(out).equals(stream)).toBe(true);
		expect(ids).toEqual(texts.map((_, index) => String(index)));
	});

	const anyLine = fc.constantFrom('', '\n', '\n', '\n\n', '\n\n\n', '\r\n\r\n', '\r\r', '\r', ':x', 'id: 1', 'data: ä', 'data:', 'x');

	test.prop([fc.array(anyLine, {maxLength: 30}), fc.array(fc.integer({min: 0, max: 9}), {minLength: 1, maxLength: 10})])('splits any bytes where joining all of them would, whatever the chunks', (parts, sizes) => {
		const stream = Buffer.from(parts.join(''));
		const splitter = createEventSplitter();
		const joining = createJoiningSplitter();
		let offset = 0;
		for (let index = 0; offset < stream.length && index < 1000; index++) {
			const size = sizes[index % sizes.length]!;
			const chunk = stream.subarray(offset, offset + size);
			offset += size;
			const [actual, expected] = [splitter.push(chunk), joining.push(chunk)];
			expect(Buffer.from(actual.bytes).toString('latin1')).toBe(expected.bytes.toString('latin1'));
			expect(actual.events).toEqual(expected.events);
			expect(Buffer.from(splitter.getRemainder()).equals(joining.getRemainder())).toBe(true);
		}
	});

	// Guards against processor time that grew with the square of an event, as all of it was joined anew with each piece.
	it('copies each byte of an event that comes in pieces of one byte a few times at most', () => {
		const event = Buffer.from(`data: ${'x'.repeat(16 * 1024)}\n\n`);
		const splitter = createEventSplitter();
		const concat = vi.spyOn(Buffer, 'concat');
		for (let offset = 0; offset < event.length; offset++) {
			splitter.push(event.subarray(offset, offset + 1));
		}

		const copied = concat.mock.results.reduce((sum, {value}) => sum + (value as Uint8Array).length, 0);
		expect(copied).toBeLessThanOrEqual(event.length);
	});
});
