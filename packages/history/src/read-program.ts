/**
Reads one program's history from the disk, backwards along the links.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramHistory} from '@siskinhub/core/history/program-history.js';
import type {TurnRecord} from '@siskinhub/core/history/turn-record.js';
import {verifyChain} from '@siskinhub/core/history/verify-chain.js';
import {err, ok, type Result} from 'neverthrow';
import type {HistoryError} from './history-error.js';
import type {IndexedProgram} from './indexed-program.js';
import type {Location} from './log/location.js';
import {readEntry} from './log/read-entry.js';
import {segmentFiles} from './log/segment-files.js';

type Base = {readonly header: ProgramHeader; readonly turns: readonly TurnRecord[]};

const checkChain = (base: Base, program: IndexedProgram, corrupt: HistoryError): Result<ProgramHistory, HistoryError> => {
	const digest = verifyChain(base.header, base.turns);
	return digest.isOk() && digest.value === program.digest
		? ok({...base, ended: program.endedAt !== undefined, epoch: program.epoch})
		: err(corrupt);
};

/** Fails with `corrupt` if what stands on the disk is not the chain that the index names. */
export const readProgram = async (folder: string, program: IndexedProgram): Promise<Result<ProgramHistory, HistoryError>> => {
	const snapshot = {...program};
	const turns: TurnRecord[] = [];
	let location: Location = snapshot.last;
	for (;;) {
		const entry = await readEntry(folder, location);
		if (entry.isErr()) {
			return err(entry.error);
		}

		const {meta, readBody} = entry.value;
		const corrupt: HistoryError = {kind: 'corrupt', file: segmentFiles.pathOf(folder, location.segment), offset: location.offset};
		switch (meta.kind) {
			case 'start': {
				return checkChain({header: readBody() as ProgramHeader, turns: turns.toReversed()}, snapshot, corrupt);
			}

			case 'copy': {
				const base = readBody() as Base;
				return checkChain({header: base.header, turns: [...base.turns, ...turns.toReversed()]}, snapshot, corrupt);
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
