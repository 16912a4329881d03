/**
Chooses which of several copies of a program's history a new owner continues.
*/
import type {ProgramHistory} from './program-history.js';
import {verifyChain} from './verify-chain.js';

const hasValidChain = ({header, turns}: ProgramHistory): boolean => verifyChain(header, turns).isOk();

const getHeadDigest = ({turns}: ProgramHistory): string => turns.at(-1)?.digest ?? '';

/** Counts the copies with the same history as `copy`, itself included. */
const countEqualCopies = (copies: readonly ProgramHistory[], copy: ProgramHistory): number =>
	copies.filter(other => getHeadDigest(other) === getHeadDigest(copy)).length;

/**
Sorts the better copy first. The highest epoch wins, as in leader-based replication: an owner writes the history that
it has read to a write quorum under its own epoch before it continues, so a copy of a lower epoch may end in a turn
that no quorum ever stored. Ties are resolved by the longer history, the greater number of equal copies, the ended
program and the lower digest, so that every reader makes the same choice.
*/
const compareCopies = (copies: readonly ProgramHistory[], a: ProgramHistory, b: ProgramHistory): number =>
	b.epoch - a.epoch
	|| b.turns.length - a.turns.length
	|| countEqualCopies(copies, b) - countEqualCopies(copies, a)
	|| Number(b.ended) - Number(a.ended)
	|| (getHeadDigest(a) < getHeadDigest(b) ? -1 : 1);

/** Returns the longest copy of the highest epoch among those with a valid chain, or `undefined` if there is none. A copy with a broken chain is ignored as a whole, never repaired from others. */
export const chooseLatestValidCopy = (copies: readonly ProgramHistory[]): ProgramHistory | undefined => {
	const valid = copies.filter(copy => hasValidChain(copy));
	return valid.toSorted((a, b) => compareCopies(valid, a, b))[0];
};
