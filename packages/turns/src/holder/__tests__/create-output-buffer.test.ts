import {expect, it} from 'vitest';
import {createOutputBuffer} from '../create-output-buffer.js';

const event = (id: number, data = `event ${id}`) => ({id: String(id), data});

const createBuffer = () => {
	let timeMs = 0;
	const buffer = createOutputBuffer(() => timeMs);
	return {
		buffer, advance(ms: number) {
			timeMs += ms;
		},
	};
};

it('holds the events of an attempt in order, and none after a gap', () => {
	const {buffer} = createBuffer();
	buffer.append('a', 0, [event(1), event(2)]);
	buffer.append('a', 2, [event(3)]);
	buffer.append('a', 4, [event(5)]);
	buffer.append('b', 1, [event(2)]);
	expect(buffer.read('a').map(({id}) => id)).toEqual(['1', '2', '3']);
	expect(buffer.read('b')).toEqual([]);
});

it('drops what was written longest ago, after a minute or when there is too much', () => {
	const {buffer, advance} = createBuffer();
	buffer.append('old', 0, [event(1)]);
	advance(60_001);
	for (let attempt = 0; attempt < 20; attempt++) {
		buffer.append(`a${attempt}`, 0, [event(1, 'x'.repeat(900_000))]);
	}

	expect(buffer.read('old')).toEqual([]);
	expect(buffer.read('a0')).toEqual([]);
	expect(buffer.read('a19').length).toBe(1);
	expect(buffer.bytes()).toBeLessThanOrEqual(8 * 1024 * 1024);
});

it('takes bounded memory for a stream without end', () => {
	const {buffer} = createBuffer();
	for (let offset = 0; offset < 100; offset++) {
		buffer.append('endless', offset, [event(offset, 'x'.repeat(50_000))]);
	}

	expect(buffer.read('endless')).toEqual([]);
	expect(buffer.bytes()).toBe(0);
});
