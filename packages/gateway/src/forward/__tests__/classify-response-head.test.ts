import {describe, expect, it} from 'vitest';
import type {ResponseHead} from '../../call/response-head.js';
import {classifyResponseHead} from '../classify-response-head.js';

const head = (changes: Partial<ResponseHead>): ResponseHead => ({
	status: 200, headers: [], answers: 'a', isSigned: true, hasNotRun: false, isOtherUpstream: false, isFramed: true, ...changes,
});

describe('judgeHead', () => {
	it.each([
		['the answer to its own request', head({}), 'success'],
		['an answer to another request', head({answers: 'b'}), 'foreign'],
		['a success without a signature', head({isSigned: false}), 'unproven'],
		['a promise of which nothing says that it is true', head({status: 503}), 'unproven'],
		['a refusal that states it has not run', head({status: 503, hasNotRun: true, isSigned: false}), 'full'],
		['another upstream at the address', head({
			status: 421, isOtherUpstream: true, isSigned: false, answers: undefined,
		}), 'not-run'],
		['a failure of the upstream\'s own', head({status: 500}), 'server-failure'],
		['a refusal of the request itself', head({status: 409}), 'failure'],
	])('takes %s as such', (_name, answer, verdict) => {
		expect(classifyResponseHead(answer, 'a')).toBe(verdict);
	});
});
