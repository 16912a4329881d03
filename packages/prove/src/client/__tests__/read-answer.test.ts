import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {expect, test} from 'vitest';
import {readAnswer} from '../read-answer.js';

const event = (name: string, data: Record<string, unknown>) => `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
const final = event('final', {
	bytes: 4, digest: 'd', promptTokens: 1, outputTokens: 2,
});
const read = async (prefix: string, ...events: string[]) => {
	const {outcome} = await readAnswer(Readable.from(events.map(text => Buffer.from(text))), prefix, () => undefined);
	return outcome;
};

test('chunks are joined, also to the text received before a cut', async () => {
	expect(await read('', event('accepted', {}), event('chunk', {offset: 0, text: 'añ'}), event('chunk', {offset: 3, text: 'b'}), final)).toMatchObject({kind: 'final', text: 'añb', gap: undefined});
	expect(await read('añ', event('chunk', {offset: 3, text: 'b'}), final)).toMatchObject({kind: 'final', text: 'añb', gap: undefined});
	expect(await read('', event('chunk', {offset: 0, text: 'lost'}), event('restart', {offset: 0}), event('chunk', {offset: 0, text: 'new'}), final)).toMatchObject({text: 'new', gap: undefined});
});

test('a missing or repeated chunk is reported as a gap', async () => {
	expect(await read('', event('chunk', {offset: 1, text: 'b'}), final)).toMatchObject({gap: 'a chunk at byte 1 came after 0 bytes'});
	expect(await read('a', event('chunk', {offset: 0, text: 'a'}), final)).toMatchObject({gap: 'a chunk at byte 0 came after 1 bytes'});
});

test('a stream without a final event is cut; a refusal is an outcome', async () => {
	expect(await read('', event('chunk', {offset: 0, text: 'a'}))).toMatchObject({kind: 'cut'});
	expect(await read('', event('refused', {code: 'not-run', message: 'm'}))).toEqual({kind: 'refused', code: 'not-run', message: 'm'});
});
