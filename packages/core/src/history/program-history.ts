/**
One holder's copy of a program's history.
*/
import type {Epoch} from '../ids/epoch.js';
import type {ProgramHeader} from './program-header.js';
import type {TurnRecord} from './turn-record.js';

/** Header and turns, in order from turn 1. */
export type ProgramHistory = {
	readonly header: ProgramHeader;
	readonly turns: readonly TurnRecord[];
	readonly ended: boolean;
	/** Epoch of the owner that last wrote the copy. */
	readonly epoch: Epoch;
};
