/**
The cells of one row.
*/
import type {CellName} from '@siskinhub/core/table/cell-name.js';

/** Values by the name of the cell. */
export type RowCells = Readonly<Partial<Record<CellName, number>>>;
