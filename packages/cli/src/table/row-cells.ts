/**
The cell values of one row of the table.
*/
import type {CellName} from '@siskinhub/core/table/cell-name.js';

/** Keyed by cell name; a cell that is not set is absent. */
export type RowCells = Readonly<Partial<Record<CellName, number>>>;
