/**
Decides which of several copies of one program's history a new owner keeps.
*/
import type {ProgramHistory} from './program-history.js';
import {verifyChain} from './verify-chain.js';

const hasValidChain = ({header, turns}: ProgramHistory): boolean => verifyChain(header, turns).isOk();

const headOf = ({turns}: ProgramHistory): string => turns.at(-1)?.digest ?? '';

/** Copies that hold the same history as `copy`. */
const countAgreeing = (copies: readonly ProgramHistory[], copy: ProgramHistory): number =>
	copies.filter(other => headOf(other) === headOf(copy)).length;

/**
Negative if `a` is the better copy. The highest epoch comes first, as in leader-based replication: an owner writes
what it has read to a write quorum under its own epoch before it goes on, so a copy of a lower epoch may end in a
turn that no quorum ever had. Then the longer, the one held by more, and the lower digest, so that every reader
chooses alike.
*/
const compareCopies = (copies: readonly ProgramHistory[], a: ProgramHistory, b: ProgramHistory): number =>
	b.epoch - a.epoch
	|| b.turns.length - a.turns.length
	|| countAgreeing(copies, b) - countAgreeing(copies, a)
	|| Number(b.ended) - Number(a.ended)
	|| (headOf(a) < headOf(b) ? -1 : 1);

/** Returns the latest and longest copy whose chain is valid, or `undefined` if none is. A copy with a break is left out whole, never spliced. */
export const chooseLongestValidChain = (copies: readonly ProgramHistory[]): ProgramHistory | undefined => {
	const valid = copies.filter(copy => hasValidChain(copy));
	return valid.toSorted((a, b) => compareCopies(valid, a, b))[0];
};
