import {expect, it} from 'vitest';
import {countMostEvents} from '../count-most-events.js';

const prompt = {promptTokens: 10, maxTokens: 100, parts: []};

it('allows an event for each token, more if the service declares parts of tokens, and some without any', () => {
	expect(countMostEvents({prompt}, 1)).toBe(356);
	expect(countMostEvents({prompt}, 3)).toBe(356);
	expect(countMostEvents({prompt}, 0.5)).toBe(456);
	expect(countMostEvents({prompt: {...prompt, maxTokens: 0}}, 1)).toBe(256);
});

it('knows no bound if the call names no tokens or the service none for an event', () => {
	expect(countMostEvents({}, 1)).toBe(Infinity);
	expect(countMostEvents({prompt}, 0)).toBe(Infinity);
});
