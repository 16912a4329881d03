/**
Checks that the turns of a history form an unbroken chain of digests.
*/
import {err, ok, type Result} from 'neverthrow';
import type {Digest} from '../ids/digest.js';
import type {ChainError} from './chain-error.js';
import {computeDigest} from './compute-digest.js';
import type {ProgramHeader} from './program-header.js';
import type {TurnRecord} from './turn-record.js';

const EMPTY_HISTORY_DIGEST = '' as Digest;

const findFault = (header: ProgramHeader, turn: TurnRecord, number: number, previous: Digest): ChainError['fault'] | undefined => {
	if (turn.program !== header.program) {
		return 'program';
	}

	if (turn.turn !== number) {
		return 'number';
	}

	if (turn.previous !== previous) {
		return 'previous';
	}

	return computeDigest(turn) === turn.digest ? undefined : 'digest';
};

/** Returns the digest of the whole history (the empty string if it has no turns), or the first fault. */
export const verifyChain = (header: ProgramHeader, turns: readonly TurnRecord[]): Result<Digest, ChainError> => {
	let previous = EMPTY_HISTORY_DIGEST;
	for (const [index, turn] of turns.entries()) {
		const fault = findFault(header, turn, index + 1, previous);
		if (fault) {
			return err({kind: 'broken-chain', turn: index + 1, fault});
		}

		previous = turn.digest;
	}

	return ok(previous);
};
