import {Buffer} from 'node:buffer';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {expect, it} from 'vitest';
import {computeFingerprint} from '../compute-fingerprint.js';

const fingerprint = (changes: {readonly program?: string; readonly path?: string; readonly body?: string} = {}): string => {
	const {program = 'p1', path = '/a/1', body = ''} = changes;
	return computeFingerprint({
		method: 'POST', host: 'h', path, program: {id: program as ProgramId},
	}, Buffer.from(body));
};

it('is the same for the same bytes of another program, and another for other bytes or another path', () => {
	expect(fingerprint({body: 'x', program: 'p2'})).toBe(fingerprint({body: 'x'}));
	expect(fingerprint({body: 'y'})).not.toBe(fingerprint({body: 'x'}));
	expect(fingerprint({body: 'x', path: '/a/2'})).not.toBe(fingerprint({body: 'x'}));
});

it('tells programs apart that ask for the same without a body', () => {
	expect(fingerprint({program: 'p2'})).not.toBe(fingerprint());
});
