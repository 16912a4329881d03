/**
Write operations of a history store. Each is checked synchronously against the
index, unless stored turns or a header must be compared, and resolves when its entry
has reached the disk.
*/
import {computeDigest} from '@siskinhub/core/history/compute-digest.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import {verifyChain} from '@siskinhub/core/history/verify-chain.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {parseShardId} from '@siskinhub/core/ids/parse-shard-id.js';
import {err, ok, type Result} from 'neverthrow';
import type {ProgramIndex} from './program-index.js';
import type {HistoryError} from './history-error.js';
import type {HistoryStore} from './history-store.js';
import type {IndexedProgram} from './indexed-program.js';
import {encodeEntry} from './log/encode-entry.js';
import type {EntryMeta} from './log/entry-meta.js';
import type {LogWriter} from './log/log-writer.js';

// Exceeds the shard count of any deployment, so that the store need not know the real one.
const MAX_SHARDS = 100_000;

type WriteOperations = Pick<HistoryStore, 'startProgram' | 'appendTurn' | 'endProgram' | 'repairProgram' | 'fenceShard'>;
type PendingWrite = Promise<Result<void, HistoryError>>;

const mismatch = ({digest, turns}: IndexedProgram): HistoryError => ({kind: 'mismatch', expected: digest, turns});

/** Creates the write operations. Apart from compaction, only they change the index. */
export const createWriteOperations = (index: ProgramIndex, writer: LogWriter, readHistory: HistoryStore['readHistory']): WriteOperations => {
	const write = async (meta: EntryMeta, body?: unknown): PendingWrite => {
		const {location, done} = writer.append(encodeEntry(meta, body));
		index.apply(meta, location);
		return done;
	};

	const checkShardEpoch = (shard: ShardId | undefined, epoch: Epoch): Result<void, HistoryError> => {
		if (shard === undefined) {
			return err({kind: 'invalid', message: 'the program id names no shard'});
		}

		const seen = index.fences.get(shard);
		return seen !== undefined && epoch < seen ? err({kind: 'fenced', epoch: seen}) : ok();
	};

	const checkProgramEpoch = (program: ProgramId, epoch: Epoch): Result<void, HistoryError> => checkShardEpoch(parseShardId(program, MAX_SHARDS), epoch);

	const findProgram = (program: ProgramId, epoch: Epoch): Result<IndexedProgram, HistoryError> => checkProgramEpoch(program, epoch).andThen((): Result<IndexedProgram, HistoryError> => {
		const found = index.programs.get(program);
		return found ? ok(found) : err({kind: 'unknown-program'});
	});

	/** Accepts a turn that the copy already holds, once the turn is known to be on the disk. */
	const confirmStoredTurn = async (turn: TurnRecord, program: IndexedProgram): PendingWrite => {
		const history = await readHistory(turn.program);
		return history.andThen(({turns}): Result<void, HistoryError> => turns[turn.turn - 1]?.digest === turn.digest ? ok() : err(mismatch(program)));
	};

	return {
		async startProgram(header, epoch) {
			const checked = checkProgramEpoch(header.program, epoch);
			if (checked.isErr()) {
				return checked;
			}

			if (!index.programs.has(header.program)) {
				return write({kind: 'start', program: header.program, epoch}, header);
			}

			const history = await readHistory(header.program);
			return history.andThen((held): Result<void, HistoryError> => JSON.stringify(held.header) === JSON.stringify(header)
				? ok()
				: err({kind: 'invalid', message: 'the program stands here with another header'}));
		},
		async appendTurn(turn, epoch) {
			const found = findProgram(turn.program, epoch);
			if (found.isErr()) {
				return err(found.error);
			}

			const program = found.value;
			if (computeDigest(turn) !== turn.digest) {
				return err({kind: 'invalid', message: 'the turn does not match its digest'});
			}

			if (turn.turn <= program.turns) {
				return confirmStoredTurn(turn, program);
			}

			if (program.endedAt !== undefined) {
				return err({kind: 'ended'});
			}

			if (turn.previous !== program.digest || turn.turn !== program.turns + 1) {
				return err(mismatch(program));
			}

			const {turn: number, previous, digest} = turn;
			return write({
				kind: 'turn', program: turn.program, epoch, turn: number, previous, digest, link: program.lastLocation,
			}, turn);
		},
		async endProgram(program, epoch) {
			const found = findProgram(program, epoch);
			if (found.isErr()) {
				return err(found.error);
			}

			return found.value.endedAt === undefined
				? write({
					kind: 'end', program, epoch, at: Date.now(), link: found.value.lastLocation,
				})
				: writer.flush();
		},
		async repairProgram(header, turns, epoch) {
			const digest = verifyChain(header, turns);
			const checked = checkProgramEpoch(header.program, epoch);
			if (checked.isErr() || digest.isErr()) {
				return err(checked.isErr() ? checked.error : {kind: 'invalid', message: 'the history is no valid chain'});
			}

			return write({
				kind: 'copy', program: header.program, epoch, turns: turns.length, digest: digest.value,
			}, {header, turns});
		},
		async fenceShard(shard, epoch) {
			const checked = checkShardEpoch(shard, epoch);
			if (checked.isErr()) {
				return checked;
			}

			return index.fences.get(shard) === epoch ? writer.flush() : write({kind: 'fence', shard, epoch});
		},
	};
};
