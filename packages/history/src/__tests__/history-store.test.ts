import {
	copyFileSync, mkdtempSync, readdirSync, readFileSync, truncateSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {fc, test} from '@fast-check/vitest';
import type {Result} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, vi,
} from 'vitest';
import type {HistoryStore} from '../history-store.js';
import {openHistoryStore} from '../open-history-store.js';
import {createTurns} from './create-turns.js';

const EPOCH = 1 as Epoch;
const SHARD = 1 as ShardId;
const PROGRAM = 'p1-a' as ProgramId;

const unwrap = async <Value, Failure>(pending: Promise<Result<Value, Failure>>): Promise<Value> => {
	const result = await pending;
	return result._unsafeUnwrap();
};

const unwrapError = async <Value, Failure>(pending: Promise<Result<Value, Failure>>): Promise<Failure> => {
	const result = await pending;
	return result._unsafeUnwrapErr();
};

const createFolder = (): string => mkdtempSync(path.join(tmpdir(), 'history-'));
const openStore = async (folder: string, segmentBytes?: number): Promise<HistoryStore> => unwrap(openHistoryStore(folder, {segmentBytes}));

const writeProgram = async (store: HistoryStore, program: string, count: number, epoch = EPOCH): Promise<void> => {
	const {header, turns} = createTurns(program, count);
	const writes = [store.startProgram(header, epoch), ...turns.map(async turn => store.appendTurn(turn, epoch))];
	await Promise.all(writes.map(async write => unwrap(write)));
};

const readTurns = async (store: HistoryStore, program: string) => {
	const {turns} = await unwrap(store.readHistory(program as ProgramId));
	return turns;
};

let folder: string;
let store: HistoryStore;
beforeEach(async () => {
	folder = createFolder();
	store = await openStore(folder);
});
afterEach(async () => {
	await store.close();
});

describe('one copy', () => {
	test('reads back what was written, also after a restart', async () => {
		await writeProgram(store, 'p1-a', 3);
		await unwrap(store.endProgram(PROGRAM, EPOCH));
		await store.close();
		store = await openStore(folder);
		const {header, turns} = createTurns('p1-a', 3);
		expect(await unwrap(store.readHistory(PROGRAM))).toEqual({
			header, turns, ended: true, epoch: EPOCH,
		});
		expect(store.listPrograms(SHARD)).toEqual([{
			program: PROGRAM, digest: turns[2]!.digest, turns: 3, ended: true,
		}]);
		expect(store.listPrograms(11 as ShardId)).toEqual([]);
	});

	test('appending an equal turn again succeeds; a turn that does not continue the chain is refused and changes nothing', async () => {
		await writeProgram(store, 'p1-a', 2);
		const {turns} = createTurns('p1-a', 4);
		const fork = createTurns('p1-a', 3, 'otherwise').turns;
		await unwrap(store.appendTurn(turns[0]!, EPOCH));
		await unwrap(store.appendTurn(turns[1]!, EPOCH));
		const refusal = {kind: 'mismatch', expected: turns[1]!.digest, turns: 2};
		expect(await unwrapError(store.appendTurn(turns[3]!, EPOCH))).toEqual(refusal);
		expect(await unwrapError(store.appendTurn(fork[1]!, EPOCH))).toEqual(refusal);
		expect(await unwrapError(store.appendTurn(fork[2]!, EPOCH))).toEqual(refusal);
		expect(await unwrapError(store.appendTurn({...turns[2]!, output: 'changed'}, EPOCH))).toMatchObject({kind: 'invalid'});
		expect(await readTurns(store, 'p1-a')).toEqual(turns.slice(0, 2));
	});

	test('a turn of an unknown or ended program is refused', async () => {
		const {turns} = createTurns('p1-a', 2);
		expect(await unwrapError(store.appendTurn(turns[0]!, EPOCH))).toEqual({kind: 'unknown-program'});
		await writeProgram(store, 'p1-a', 1);
		await store.endProgram(PROGRAM, EPOCH);
		expect(await unwrapError(store.appendTurn(turns[1]!, EPOCH))).toEqual({kind: 'ended'});
	});

	test('a repair replaces the whole history, and only by a valid chain', async () => {
		const {header, turns} = createTurns('p1-a', 4);
		const fork = createTurns('p1-a', 2, 'otherwise');
		await store.repairProgram(fork.header, fork.turns, EPOCH);
		expect(await unwrapError(store.repairProgram(header, [...fork.turns, ...turns.slice(2)], EPOCH))).toMatchObject({kind: 'invalid'});
		await unwrap(store.repairProgram(header, turns.slice(0, 3), EPOCH));
		await unwrap(store.appendTurn(turns[3]!, EPOCH));
		await store.close();
		store = await openStore(folder);
		expect(await readTurns(store, 'p1-a')).toEqual(turns);
	});

	test('concurrent appends do not mix programs', async () => {
		const programs = Array.from({length: 200}, (_, index) => `p${index % 7}-${index}`);
		await Promise.all(programs.map(async (program, index) => writeProgram(store, program, 1 + (index % 9))));
		await store.close();
		store = await openStore(folder);
		for (const [index, program] of programs.entries()) {
			expect(await readTurns(store, program)).toEqual(createTurns(program, 1 + (index % 9)).turns);
		}
	});
});

describe('fencing', () => {
	test('after a higher epoch was seen, a lower one is refused, also after a restart, and an equal one is accepted', async () => {
		await writeProgram(store, 'p1-a', 1);
		await unwrap(store.fenceShard(SHARD, 3 as Epoch));
		const {turns} = createTurns('p1-a', 2);
		const old = 2 as Epoch;
		const refusal = {kind: 'fenced', epoch: 3};
		expect(await unwrapError(store.appendTurn(turns[1]!, old))).toEqual(refusal);
		await store.close();
		store = await openStore(folder);
		expect(await unwrapError(store.appendTurn(turns[1]!, old))).toEqual(refusal);
		expect(await unwrapError(store.endProgram(PROGRAM, old))).toEqual(refusal);
		expect(await unwrapError(store.fenceShard(SHARD, old))).toEqual(refusal);
		expect(await unwrapError(store.startProgram(createTurns('p1-b', 0).header, old))).toEqual(refusal);
		expect(await unwrapError(store.repairProgram(createTurns('p1-a', 0).header, [], old))).toEqual(refusal);
		await unwrap(store.appendTurn(turns[1]!, 3 as Epoch));
		await unwrap(store.startProgram(createTurns('p2-b', 0).header, old));
	});

	test('a write with a higher epoch fences lower epochs like fenceShard', async () => {
		await writeProgram(store, 'p1-a', 1, 5 as Epoch);
		expect(await unwrapError(store.endProgram(PROGRAM, 4 as Epoch))).toEqual({kind: 'fenced', epoch: 5});
	});
});

describe('crashes', () => {
	test.prop([fc.nat(), fc.boolean()], {numRuns: 60})('after a crash at any byte every copy is a prefix of what was written', async (cut, leavesGarbage) => {
		const written = createFolder();
		const first = await openStore(written);
		await writeProgram(first, 'p1-a', 3);
		await writeProgram(first, 'p1-b', 3);
		await first.close();
		const file = path.join(written, readdirSync(written)[0]!);
		const size = readFileSync(file).length;
		truncateSync(file, cut % size);
		if (leavesGarbage) {
			writeFileSync(file, '\0\0\n\0', {flag: 'a'});
		}

		const second = await openStore(written);
		for (const {program, turns} of second.listPrograms(SHARD)) {
			expect(await readTurns(second, program)).toEqual(createTurns(program, turns).turns);
		}

		await writeProgram(second, 'p1-c', 2);
		await second.close();
		const third = await openStore(written);
		expect(await readTurns(third, 'p1-c')).toHaveLength(2);
		await third.close();
	});

	test.prop([fc.nat(), fc.integer({min: 1, max: 255})], {numRuns: 60})('a changed byte before the last entry makes opening fail with corrupt', async (at, flip) => {
		await writeProgram(store, `p1-${at}-${flip}`, 3);
		await store.close();
		const name = readdirSync(folder).at(-1)!;
		const bytes = readFileSync(path.join(folder, name));
		const lastEntry = bytes.lastIndexOf('\n', bytes.length - 2) + 1;
		const damaged = createFolder();
		copyFileSync(path.join(folder, name), path.join(damaged, name));
		const offset = at % lastEntry;
		writeFileSync(path.join(damaged, name), bytes.with(offset, bytes[offset]! ^ flip)); // eslint-disable-line no-bitwise
		expect(await unwrapError(openHistoryStore(damaged))).toMatchObject({kind: 'corrupt'});
		store = await openStore(folder);
	});
});

describe('compaction', () => {
	test('removes ended programs after the retention and keeps open programs and fences', async () => {
		await store.close();
		store = await openStore(folder, 2000);
		await store.fenceShard(9 as ShardId, 7 as Epoch);
		await writeProgram(store, 'p1-long', 2);
		for (let index = 0; index < 40; index++) {
			await writeProgram(store, `p1-${index}`, 3);
			await store.endProgram(`p1-${index}` as ProgramId, EPOCH);
		}

		const before = readdirSync(folder).length;
		await unwrap(store.compact(60_000));
		expect(store.listPrograms(SHARD)).toHaveLength(41);
		vi.useFakeTimers({toFake: ['Date'], now: Date.now() + 61_000});
		await unwrap(store.compact(60_000));
		vi.useRealTimers();
		expect(readdirSync(folder).length).toBeLessThan(before / 4);
		await unwrap(store.appendTurn(createTurns('p1-long', 3).turns[2]!, EPOCH));
		await store.close();
		store = await openStore(folder, 2000);
		expect(await readTurns(store, 'p1-long')).toEqual(createTurns('p1-long', 3).turns);
		expect(await unwrapError(store.fenceShard(9 as ShardId, 6 as Epoch))).toEqual({kind: 'fenced', epoch: 7});
	});
});
