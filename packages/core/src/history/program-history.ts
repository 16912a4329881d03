/**
A program's history as one holder keeps it.
*/
import type {ProgramHeader} from './program-header.js';
import type {TurnRecord} from './turn-record.js';

/** One copy; the turns are in order, from turn 1. */
export type ProgramHistory = {
	readonly header: ProgramHeader;
	readonly turns: readonly TurnRecord[];
	readonly ended: boolean;
};
