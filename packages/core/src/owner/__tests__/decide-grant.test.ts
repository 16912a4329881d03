import {fc, test} from '@fast-check/vitest';
import {describe, expect} from 'vitest';
import type {Digest} from '../../ids/digest.js';
import type {ProgramId} from '../../ids/program-id.js';
import type {RequestId} from '../../ids/request-id.js';
import type {TurnNumber} from '../../ids/turn-number.js';
import type {WorkspaceId} from '../../ids/workspace-id.js';
import {createOpenProgram} from '../create-open-program.js';
import {decideGrant} from '../decide-grant.js';
import type {OpenProgram} from '../open-program.js';

const WORKSPACE = 'huenchullan' as WorkspaceId;

const createProgram = (): OpenProgram => createOpenProgram({
	program: 'p1-a' as ProgramId, workspace: WORKSPACE, kind: 'advice', deployment: 'main', startedAt: 0,
}, 0);

const ask = (program: OpenProgram, turn: number, requestId: string, after = '') => decideGrant(program, {
	workspace: WORKSPACE, turn: turn as TurnNumber, requestId: requestId as RequestId, after,
});

const grant = (program: OpenProgram, turn: number, requestId: string) => {
	program.current = {
		requestId: requestId as RequestId, turn: turn as TurnNumber, idempotent: true, fingerprint: '', state: 'granted', cancelled: false, deadlineAt: 0,
	};
};

const store = (program: OpenProgram) => {
	const {current} = program;
	if (current) {
		program.storedTurns.set(current.requestId, current.turn);
		program.digest = `after-${current.turn}` as Digest;
		program.nextTurn = (current.turn + 1) as TurnNumber;
		program.current = undefined;
	}
};

type Step = {kind: 'ask'; turn: number; requestId: string} | {kind: 'store'} | {kind: 'close'};

const steps = fc.array(fc.oneof(
	fc.record({kind: fc.constant('ask' as const), turn: fc.integer({min: 1, max: 5}), requestId: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f')}),
	fc.record({kind: fc.constant('store' as const)}),
	fc.record({kind: fc.constant('close' as const)}),
), {maxLength: 60});

const applyStep = (program: OpenProgram, step: Step, granted: string[], closed: Set<string>) => {
	if (step.kind === 'store') {
		store(program);
	} else if (step.kind === 'close' && program.current) {
		program.closed.set(program.current.requestId, 'not-run');
		closed.add(program.current.requestId);
		program.current = undefined;
	} else if (step.kind === 'ask' && ask(program, step.turn, step.requestId).kind === 'go') {
		expect(program.current).toBeUndefined();
		expect(step.turn).toBe(program.nextTurn);
		expect(closed.has(step.requestId)).toBe(false);
		granted.push(step.requestId);
		grant(program, step.turn, step.requestId);
	}
};

describe('for any order of requests', () => {
	test.prop([steps])('turns are granted one at a time and in order, and no request id is granted twice or after it was closed', sequence => {
		const program = createProgram();
		const granted: string[] = [];
		const closed = new Set<string>();
		for (const step of sequence) {
			applyStep(program, step, granted, closed);
		}

		expect(new Set(granted).size).toBe(granted.length);
		expect([...program.storedTurns.values()]).toEqual(Array.from(program.storedTurns.keys(), (_, index) => index + 1));
	});
});

test('a repeated request is matched before all other checks', () => {
	const program = createProgram();
	grant(program, 1, 'a');
	expect(ask(program, 1, 'a').kind).toBe('attach');
	store(program);
	program.ended = true;
	expect(ask(program, 1, 'a')).toEqual({kind: 'recorded', turn: 1});
	expect(ask(program, 2, 'b')).toMatchObject({kind: 'refuse', refusal: {code: 'program-ended'}});
});

test('a request id cannot be used for another turn', () => {
	const program = createProgram();
	grant(program, 1, 'a');
	store(program);
	expect(ask(program, 2, 'a')).toMatchObject({kind: 'refuse', refusal: {code: 'bad-request'}});
});

test('a call that is based on another history is refused', () => {
	const program = createProgram();
	grant(program, 1, 'a');
	store(program);
	expect(ask(program, 2, 'b', 'other')).toMatchObject({kind: 'refuse', refusal: {code: 'history-mismatch'}});
	expect(ask(program, 2, 'b', 'after-1').kind).toBe('go');
});

test('a later turn waits, and a stored one is refused as out of order', () => {
	const program = createProgram();
	expect(ask(program, 2, 'b').kind).toBe('wait');
	grant(program, 1, 'a');
	store(program);
	expect(ask(program, 1, 'b')).toMatchObject({kind: 'refuse', refusal: {code: 'out-of-order'}});
});
