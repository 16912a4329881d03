/**
Lists the keys of the rows that apply to one program.
*/
import type {ProgramRows} from './program-rows.js';
import type {RowKey} from './row-key.js';

/** Returns the keys of the program's rows, the most specific first. */
export const listRowKeys = ({deployment, kind, workspace}: ProgramRows): readonly RowKey[] => [
	`workspace/${workspace}` as RowKey,
	`kind/${kind}` as RowKey,
	`deployment/${deployment}` as RowKey,
];
