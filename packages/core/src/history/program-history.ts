/**
A program's history as one holder keeps it.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ProgramHeader} from './program-header.js';
import type {TurnRecord} from './turn-record.js';

/** One copy; the turns are in order, from turn 1. */
export type ProgramHistory = {
	readonly header: ProgramHeader;
	readonly turns: readonly TurnRecord[];
	readonly ended: boolean;
	/** Epoch of the owner under which the copy was last written. */
	readonly epoch: Epoch;
};
