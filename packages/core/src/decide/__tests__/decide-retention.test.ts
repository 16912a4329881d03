import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {decideRetention} from '../decide-retention.js';

const prefixes = fc.record({
	prefixTokens: fc.nat(310_000),
	ended: fc.constant(false),
	isExpired: fc.boolean(),
	isReuseCertain: fc.boolean(),
	medianPauseMs: fc.nat(60_000),
	memoryUsed: fc.double({min: 0, max: 1, noNaN: true}),
	prefillTokensPerMs: fc.double({min: 0.5, max: 50, noNaN: true}),
});

test.prop([prefixes])('the prefix of an ended program is released at once', prefix => {
	expect(decideRetention({...prefix, ended: true})).toBe(0);
});

test.prop([prefixes, fc.double({min: 0, max: 1, noNaN: true})])('fuller memory never keeps a prefix longer', (prefix, used) => {
	const fuller = Math.max(prefix.memoryUsed, used);
	expect(decideRetention({...prefix, memoryUsed: fuller})).toBeLessThanOrEqual(decideRetention(prefix));
});

test.prop([prefixes, fc.nat(60_000)])('a prefix is never kept past the row\'s limit on tool time', (prefix, toolTimeMs) => {
	expect(decideRetention({...prefix, toolTimeMs})).toBeLessThanOrEqual(toolTimeMs);
});

test.prop([prefixes])('an expired prefix is kept only if its reuse is certain', prefix => {
	const keepMs = decideRetention({...prefix, medianPauseMs: 1000, isExpired: true});
	expect(keepMs > 0).toBe(prefix.isReuseCertain);
});
