/**
The operators' table at one revision.
*/
import type {Revision} from '../ids/revision.js';
import type {CellName} from './cell-name.js';
import type {RowKey} from './row-key.js';

type Cell = {
	readonly value: number;
	/** Revision at which the value was accepted. */
	readonly revision: Revision;
	/** The operator who wrote it. */
	readonly who: string;
};

/** Rows and their cells. A row without cells exists; defaults apply to it. */
export type TableState = {
	readonly revision: Revision;
	readonly rows: Readonly<Record<RowKey, Readonly<Partial<Record<CellName, Cell>>>>>;
};
