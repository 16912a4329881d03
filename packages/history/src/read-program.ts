/**
Reads one program's history from the disk by following the links between its
entries backwards.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import {verifyChain} from '@siskinhub/core/history/verify-chain.js';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryError} from './history-error.js';
import type {IndexedProgram} from './indexed-program.js';
import type {EntryLocation} from './log/entry-location.js';
import {readEntry} from './log/read-entry.js';
import {segmentFiles} from './log/segment-files.js';

/** Header and turns of a history, as in the body of a `copy` entry. */
type HistoryBody = {readonly header: ProgramHeader; readonly turns: readonly TurnRecord[]};

const checkChain = (stored: HistoryBody, program: IndexedProgram, corrupt: HistoryError): Result<ProgramHistory, HistoryError> => {
	const digest = verifyChain(stored.header, stored.turns);
	return digest.isOk() && digest.value === program.digest
		? ok({...stored, ended: program.endedAt !== undefined, epoch: program.epoch})
		: err(corrupt);
};

/** Fails with `corrupt` if the turns on the disk are not a valid chain that ends with the index's digest. */
export const readProgram = async (folder: string, program: IndexedProgram): Promise<Result<ProgramHistory, HistoryError>> => {
	const snapshot = {...program};
	const turns: TurnRecord[] = [];
	let location: EntryLocation = snapshot.lastLocation;
	for (;;) {
		const entry = await readEntry(folder, location);
		if (entry.isErr()) {
			return err(entry.error);
		}

		const {meta, readBody} = entry.value;
		const corrupt: HistoryError = {kind: 'corrupt', file: segmentFiles.getPath(folder, location.segment), offset: location.offset};
		switch (meta.kind) {
			case 'start': {
				return checkChain({header: readBody() as ProgramHeader, turns: turns.toReversed()}, snapshot, corrupt);
			}

			case 'copy': {
				const stored = readBody() as HistoryBody;
				return checkChain({header: stored.header, turns: [...stored.turns, ...turns.toReversed()]}, snapshot, corrupt);
			}

			case 'turn': {
				turns.push(readBody() as TurnRecord);
				location = meta.link;
				break;
			}

			case 'end': {
				location = meta.link;
				break;
			}

			case 'fence':
			case 'segment': {
				return err(corrupt);
			}
		}
	}
};
