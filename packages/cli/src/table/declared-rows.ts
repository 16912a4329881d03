/**
The rows that a table file declares.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {RowCells} from './row-cells.js';

/** The cells of each row, by row key. */
export type DeclaredRows = ReadonlyMap<RowKey, RowCells>;
