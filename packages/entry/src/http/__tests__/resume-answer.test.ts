import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {CallEvents} from '../../calls/call-events.js';
import {resumeAnswer} from '../resume-answer.js';

const final = {
	requestId: 'r', turn: 1, bytes: 0, promptTokens: 0, outputTokens: 0, finish: 'stop', digest: '',
};

/** A caller that holds `have` and appends what it is told. */
const createCaller = (have: string) => {
	let answer = have;
	const events: CallEvents = {
		onAccepted() {/* Not looked at. */},
		onChunk({offset, text}) {
			expect(offset).toBe(Buffer.byteLength(answer));
			answer += text;
		},
		onRestart() {
			answer = '';
		},
		onFinal() {/* Not looked at. */},
		onRefused() {/* Not looked at. */},
	};
	return {events, answer: () => answer};
};

const hashOf = (text: string) => createHash('sha256').update(text).digest('hex');

test.prop([
	fc.array(fc.string({unit: 'grapheme', minLength: 1}), {minLength: 1, maxLength: 6}),
	fc.string({unit: 'grapheme'}),
	fc.nat(),
	fc.boolean(),
])('a caller ends with the whole answer of one run', (pieces, otherRun, cut, isSameRun) => {
	const whole = pieces.join('');
	const characters = [...(isSameRun ? whole : otherRun)];
	const have = characters.slice(0, cut % (characters.length + 1)).join('');
	const caller = createCaller(have);
	const events = resumeAnswer(caller.events, {from: Buffer.byteLength(have), prefixSha256: hashOf(have)});
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
])('a caller that gives no hash never puts two runs together', (whole, have) => {
	const caller = createCaller(have);
	const events = resumeAnswer(caller.events, {from: Buffer.byteLength(have)});
	events.onChunk({offset: 0, text: whole});
	events.onFinal(final);
	expect(caller.answer()).toBe(whole);
});
