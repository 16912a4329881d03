/**
In-memory index of the log. It is built from the log's entries at startup and
updated by every append.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {parseShardId} from '@siskinhub/core/ids/parse-shard-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {IndexedProgram} from './indexed-program.js';
import type {EntryMeta} from './log/entry-meta.js';
import type {EntryLocation} from './log/entry-location.js';
import type {ProgramIndex} from './program-index.js';

// Exceeds the shard count of any deployment, so that the store need not know the real one.
const MAX_SHARDS = 100_000;
const EMPTY_HISTORY_DIGEST = '' as Digest;

const getShard = (program: ProgramId): ShardId | undefined => parseShardId(program, MAX_SHARDS);

const addSpan = (program: IndexedProgram, {segment, length}: EntryLocation): void => {
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

	const setProgram = (program: ProgramId, location: EntryLocation, state: Pick<IndexedProgram, 'digest' | 'turns' | 'endedAt' | 'epoch'>): void => {
		programs.set(program, {...state, lastLocation: location, spans: [{segment: location.segment, bytes: location.length}]});
	};

	/** Adds an entry to its program. An entry whose predecessors were removed by a compaction has no program and is skipped. */
	const extendProgram = (meta: EntryMeta & {readonly kind: 'turn' | 'end'}, location: EntryLocation): boolean => {
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
		program.lastLocation = location;
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

			raiseFence(meta.kind === 'fence' ? meta.shard : getShard(meta.program), meta.epoch);
			switch (meta.kind) {
				case 'fence': {
					return true;
				}

				case 'start': {
					setProgram(meta.program, location, {digest: EMPTY_HISTORY_DIGEST, turns: 0, epoch: meta.epoch});
					return true;
				}

				case 'copy': {
					setProgram(meta.program, location, {
						digest: meta.digest, turns: meta.turns, endedAt: meta.endedAt, epoch: meta.epoch,
					});
					return true;
				}

				case 'turn':
				case 'end': {
					return extendProgram(meta, location);
				}
			}
		},
		forget(program) {
			programs.delete(program);
		},
	};
};
