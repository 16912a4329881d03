import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import type {Digest} from '../../ids/digest.js';
import type {Epoch} from '../../ids/epoch.js';
import type {ProgramId} from '../../ids/program-id.js';
import type {RequestId} from '../../ids/request-id.js';
import type {TurnNumber} from '../../ids/turn-number.js';
import type {WorkspaceId} from '../../ids/workspace-id.js';
import {chooseLatestValidCopy} from '../choose-latest-valid-copy.js';
import {computeDigest} from '../compute-digest.js';
import type {ProgramHeader} from '../program-header.js';
import type {TurnRecord} from '../turn-record.js';
import {verifyChain} from '../verify-chain.js';

const createHeader = (program: string): ProgramHeader => ({
	program: program as ProgramId, workspace: 'w' as WorkspaceId, kind: 'k', deployment: 'd', startedAt: 0,
});

const createTurns = (program: string, outputs: readonly string[]): TurnRecord[] => {
	const turns: TurnRecord[] = [];
	for (const [index, output] of outputs.entries()) {
		const turn = {
			program: program as ProgramId,
			turn: index + 1 as TurnNumber,
			requestId: `r${index}` as RequestId,
			previous: turns.at(-1)?.digest ?? '' as Digest,
			input: '[]',
			output,
			promptTokens: 1,
			outputTokens: 1,
			finish: 'stop',
		};
		turns.push({...turn, digest: computeDigest(turn)});
	}

	return turns;
};

const outputs = fc.array(fc.string(), {minLength: 1, maxLength: 8});

test.prop([outputs])('an unchanged chain is valid and has the digest of its last turn', texts => {
	const turns = createTurns('p1-a', texts);
	expect(verifyChain(createHeader('p1-a'), turns)._unsafeUnwrap()).toBe(turns.at(-1)?.digest);
});

test.prop([outputs, fc.nat(), fc.constantFrom('program', 'drop', 'swap', 'input', 'output', 'outputTokens', 'finish')])('any change of a chain is detected', (texts, at, change) => {
	const turns = createTurns('p1-a', [...texts, 'x', 'y']);
	const index = at % (turns.length - 1);
	const turn = turns[index]!;
	const changed = {
		program: turns.with(index, {...turn, program: 'p1-b' as ProgramId}),
		drop: turns.toSpliced(index, 1),
		swap: turns.with(index, turns[index + 1]!).with(index + 1, turn),
		input: turns.with(index, {...turn, input: `${turn.input} `}),
		output: turns.with(index, {...turn, output: `${turn.output}x`}),
		outputTokens: turns.with(index, {...turn, outputTokens: turn.outputTokens + 1}),
		finish: turns.with(index, {...turn, finish: 'length'}),
	}[change];
	expect(verifyChain(createHeader('p1-a'), changed).isErr()).toBe(true);
});

test('a turn of another program is reported as such', () => {
	expect(verifyChain(createHeader('p1-a'), createTurns('p1-b', ['x']))._unsafeUnwrapErr()).toEqual({kind: 'broken-chain', turn: 1, fault: 'program'});
});

test.prop([outputs, outputs])('the longest valid copy of one epoch is chosen in any order of copies, and a broken one never', (first, second) => {
	const header = createHeader('p1-a');
	const copyOf = (turns: readonly TurnRecord[], epoch = 1) => ({
		header, turns, ended: false, epoch: epoch as Epoch,
	});
	const broken = copyOf(createTurns('p1-a', [...first, ...second, 'x', 'y']).toSpliced(0, 1));
	const copies = [copyOf(createTurns('p1-a', first)), copyOf(createTurns('p1-a', second)), broken];
	const chosen = chooseLatestValidCopy(copies);
	expect(chosen?.turns.length).toBe(Math.max(first.length, second.length));
	expect(chooseLatestValidCopy(copies.toReversed())?.turns).toEqual(chosen?.turns);
	expect(chooseLatestValidCopy([broken])).toBeUndefined();
});

test.prop([outputs, outputs])('a fork that was written under an earlier epoch without a quorum is never chosen over the turns of a later owner', (stored, fork) => {
	const header = createHeader('p1-a');
	const later = {
		header, turns: createTurns('p1-a', stored), ended: false, epoch: 2 as Epoch,
	};
	const stale = {
		header, turns: createTurns('p1-a', fork), ended: false, epoch: 1 as Epoch,
	};
	expect(chooseLatestValidCopy([stale, later])).toBe(later);
	expect(chooseLatestValidCopy([later, stale])).toBe(later);
});
