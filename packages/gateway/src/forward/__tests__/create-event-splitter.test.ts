import {Buffer} from 'node:buffer';
import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {createEventSplitter} from '../create-event-splitter.js';

describe('createEventSplitter', () => {
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
});
