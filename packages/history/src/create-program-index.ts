/**
The index over the log: built from its entries at start and by every append.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {shardOfProgram} from '@siskinhub/core/ids/shard-of-program.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {IndexedProgram} from './indexed-program.js';
import type {EntryMeta} from './log/entry-meta.js';
import type {Location} from './log/location.js';
import type {ProgramIndex} from './program-index.js';

// More shards than any deployment has; the store need not know the real count.
const MOST_SHARDS = 100_000;
const EMPTY_HISTORY = '' as Digest;

const shardOf = (program: ProgramId): ShardId | undefined => shardOfProgram(program, MOST_SHARDS);

const addSpan = (program: IndexedProgram, {segment, length}: Location): void => {
	const last = program.spans.at(-1);
	if (last?.segment === segment) {
		last.bytes += length;
	} else {
		program.spans.push({segment, bytes: length});
	}
};

/** Creates the index of an empty log. */
export const createProgramIndex = (): ProgramIndex => {
	const programs = new Map<ProgramId, IndexedProgram>();
	const fences = new Map<ShardId, Epoch>();

	const raiseFence = (shard: ShardId | undefined, epoch: Epoch): void => {
		if (shard !== undefined && epoch > (fences.get(shard) ?? -1)) {
			fences.set(shard, epoch);
		}
	};

	const begin = (program: ProgramId, location: Location, state: Pick<IndexedProgram, 'digest' | 'turns' | 'endedAt' | 'epoch'>): void => {
		programs.set(program, {...state, last: location, spans: [{segment: location.segment, bytes: location.length}]});
	};

	/** An entry whose predecessors were compacted away belongs to no program and is passed over. */
	const extend = (meta: EntryMeta & {readonly kind: 'turn' | 'end'}, location: Location): boolean => {
		const program = programs.get(meta.program);
		if (!program) {
			return true;
		}

		if (meta.kind === 'end') {
			program.endedAt = meta.at;
		} else if (meta.previous === program.digest && meta.turn === program.turns + 1) {
			program.digest = meta.digest;
			program.turns = meta.turn;
		} else {
			return false;
		}

		program.epoch = meta.epoch;
		program.last = location;
		addSpan(program, location);
		return true;
	};

	return {
		programs,
		fences,
		apply(meta, location) {
			if (meta.kind === 'segment') {
				return true;
			}

			raiseFence(meta.kind === 'fence' ? meta.shard : shardOf(meta.program), meta.epoch);
			switch (meta.kind) {
				case 'fence': {
					return true;
				}

				case 'start': {
					begin(meta.program, location, {digest: EMPTY_HISTORY, turns: 0, epoch: meta.epoch});
					return true;
				}

				case 'copy': {
					begin(meta.program, location, {
						digest: meta.digest, turns: meta.turns, endedAt: meta.endedAt, epoch: meta.epoch,
					});
					return true;
				}

				case 'turn':
				case 'end': {
					return extend(meta, location);
				}
			}
		},
		forget(program) {
			programs.delete(program);
		},
	};
};
