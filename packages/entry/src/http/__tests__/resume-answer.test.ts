import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {CallEvents} from '../../calls/call-events.js';
import {resumeAnswer} from '../resume-answer.js';

const final = {
	requestId: 'r', turn: 1, bytes: 0, promptTokens: 0, outputTokens: 0, finish: 'stop', digest: '',
};

/** A caller that has received a part of the answer and appends further chunks. */
const createCaller = (received: string) => {
	let answer = received;
	const events: CallEvents = {
		onAccepted() {/* Not checked. */},
		onChunk({offset, text}) {
			expect(offset).toBe(Buffer.byteLength(answer));
			answer += text;
		},
		onRestart() {
			answer = '';
		},
		onFinal() {/* Not checked. */},
		onRefused() {/* Not checked. */},
	};
	return {events, answer: () => answer};
};

const computeSha256 = (text: string) => createHash('sha256').update(text).digest('hex');

test.prop([
	fc.array(fc.string({unit: 'grapheme', minLength: 1}), {minLength: 1, maxLength: 6}),
	fc.string({unit: 'grapheme'}),
	fc.nat(),
	fc.boolean(),
])('a resumed caller ends up with the whole answer of one run', (pieces, otherRun, cut, isSameRun) => {
	const whole = pieces.join('');
	const characters = [...(isSameRun ? whole : otherRun)];
	const received = characters.slice(0, cut % (characters.length + 1)).join('');
	const caller = createCaller(received);
	const events = resumeAnswer(caller.events, {from: Buffer.byteLength(received), prefixSha256: computeSha256(received)});
	let offset = 0;
	for (const text of pieces) {
		events.onChunk({offset, text});
		offset += Buffer.byteLength(text);
	}

	events.onFinal(final);
	expect(caller.answer()).toBe(whole);
});

test.prop([
	fc.string({unit: 'grapheme', minLength: 1}),
	fc.string({unit: 'grapheme', minLength: 1}),
])('a caller that gives no hash never combines two runs', (whole, received) => {
	const caller = createCaller(received);
	const events = resumeAnswer(caller.events, {from: Buffer.byteLength(received)});
	events.onChunk({offset: 0, text: whole});
	events.onFinal(final);
	expect(caller.answer()).toBe(whole);
});
