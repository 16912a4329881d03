/**
The rows that a file in version control declares.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {RowCells} from './row-cells.js';

/** Cells by row. */
export type DeclaredRows = ReadonlyMap<RowKey, RowCells>;
