import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {createProgramId} from '../create-program-id.js';
import type {ProgramId} from '../program-id.js';
import {parseShardId} from '../parse-shard-id.js';
import type {ShardId} from '../shard-id.js';

test.prop([fc.integer({min: 0, max: 63}), fc.uuid()])('a program id contains its shard number', (shard, random) => {
	const id = createProgramId(shard as ShardId, random);
	expect(parseShardId(id, 64)).toBe(shard);
});

test.each(['', 'p', 'p64-a', 'p1', 'p01-a', 'q1-a', 'p1-', 'p1-a b'])('%j is not a valid program id', text => {
	expect(parseShardId(text as ProgramId, 64)).toBeUndefined();
});
